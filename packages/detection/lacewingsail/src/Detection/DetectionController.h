#pragma once

#include "DetectionState.h"
#include "EvidencePeers.h"
#include "EvidenceQueue.h"

#include <functional>
#include <memory>

namespace lacewingsail {

/// \brief What a DetectionController works with. All must outlive it.
struct DetectionServices {
    DetectionState& state;
    EvidenceQueue& queue;
    EvidencePeers& peers;
    /// Decides the standings anew and publishes them if they changed.
    std::function<void()> publish;
    std::function<std::shared_ptr<const FleetSnapshot>()> snapshot;
};

/// \brief The thread that turns evidence into standings.
class DetectionController {
public:
    explicit DetectionController(DetectionServices);
    ~DetectionController();
    DetectionController(const DetectionController&) = delete;
    DetectionController& operator=(const DetectionController&) = delete;

private:
    struct Implementation;
    std::unique_ptr<Implementation> m_implementation;
};

} // namespace lacewingsail
