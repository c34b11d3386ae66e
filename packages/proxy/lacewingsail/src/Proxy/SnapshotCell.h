#pragma once

#include <lacewingsail/Policy.h>

#include <memory>
#include <mutex>

namespace lacewingsail {

/// \brief Holds the current FleetSnapshot for the request threads, by read-copy-update: reading takes no lock and
/// never waits for a writer.
class SnapshotCell {
public:
    SnapshotCell();
    ~SnapshotCell();
    SnapshotCell(const SnapshotCell&) = delete;
    SnapshotCell& operator=(const SnapshotCell&) = delete;

    /// \returns the current snapshot; keep it as long as its parts are used. Costs one reference count.
    std::shared_ptr<const FleetSnapshot> current() const;

    /// \brief Replaces the snapshot. Waits until no reader can still see the old one; not for request threads.
    void publish(std::shared_ptr<const FleetSnapshot>);

private:
    struct Node {
        std::shared_ptr<const FleetSnapshot> snapshot;
    };

    Node* m_node;
    std::mutex m_writers;
};

} // namespace lacewingsail
