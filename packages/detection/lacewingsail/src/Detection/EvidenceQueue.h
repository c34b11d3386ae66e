#pragma once

#include <lacewingsail/Observe.h>
#include <lacewingsail/Policy.h>

#include <memory>
#include <vector>

namespace lacewingsail {

/// \brief Carries evidence from the request threads to the detection; takes no lock. What exceeds its bound is
/// counted and dropped.
class EvidenceQueue final : public EvidenceSink {
public:
    explicit EvidenceQueue(Metrics&);
    ~EvidenceQueue() override;

    void observe(const AttemptEvidence&) override;

    /// \returns what has been observed since the last call, oldest first.
    std::vector<AttemptEvidence> drain();

private:
    struct Implementation;
    std::unique_ptr<Implementation> m_implementation;
};

} // namespace lacewingsail
