#pragma once

#include "HostCalls.h"

#include <lacewingsail/World.h>

#include <functional>
#include <memory>
#include <optional>
#include <span>
#include <system_error>
#include <vector>

namespace lacewingsail {

/// \brief Calls between gateway hosts over gRPC, both client and server side. All callbacks run on the event loop's thread.
class GatewayCalls final : public HostCalls {
public:
    /// \brief Handlers of the calls from other hosts.
    struct Handlers {
        std::function<void(const protocol::ExchangeRequest&, protocol::ExchangeReply&)> exchange;
        /// Returns nothing if this host does not coordinate the account.
        std::function<std::optional<TokenGrant>(const TokenDemand&)> grantTokens;
        /// Answers within the call or later.
        std::function<void(const PlacementCell&, const PlacementDemand&, DecisionCallback)> place;
        std::function<void(std::span<const PlacementOutcome>)> recordOutcomes;
    };

    /// \param error set if this host cannot listen for calls.
    GatewayCalls(EventLoop&, const Endpoint& listen, Handlers, std::error_code& error);
    ~GatewayCalls() override;
    GatewayCalls(const GatewayCalls&) = delete;
    GatewayCalls& operator=(const GatewayCalls&) = delete;

    void exchange(const Endpoint&, std::unique_ptr<protocol::ExchangeRequest>, ExchangeCallback) override;
    void requestTokens(const Endpoint&, const TokenDemand&, TokenCallback) override;
    void place(const Endpoint&, const PlacementCell& cell, const PlacementDemand&, const std::vector<PlacementOutcome>&, PlacementCallback) override;
    void reportOutcomes(const Endpoint&, const std::vector<PlacementOutcome>&, DeliveryCallback) override;

private:
    struct Implementation;
    std::unique_ptr<Implementation> m_implementation;
};

} // namespace lacewingsail
