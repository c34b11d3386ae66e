#pragma once

#include <lacewingsail/World.h>

#include <memory>
#include <system_error>

namespace lacewingsail {

/// \brief Everything that one `lacewingd` process runs.
class EntryHost {
public:
    /// \brief Starts all listeners and followers.
    /// \param error set if a listener cannot be started; the object is then only to be destroyed.
    EntryHost(HostSettings, std::error_code& error);
    ~EntryHost();
    EntryHost(const EntryHost&) = delete;
    EntryHost& operator=(const EntryHost&) = delete;

    /// \brief Begins a planned stop: unready, no new connections, kept ones are closed after their answers.
    void drain();

    /// \returns whether a planned stop has come to its end and no caller's connection is open.
    bool drained() const;

private:
    struct Implementation;
    std::unique_ptr<Implementation> m_implementation;
};

} // namespace lacewingsail
