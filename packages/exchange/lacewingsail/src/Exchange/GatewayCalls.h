#pragma once

#include "ForwardDeclarations.h"
#include "PlacementCoordinator.h"

#include <lacewingsail/World.h>

#include <functional>
#include <memory>
#include <optional>
#include <span>
#include <system_error>
#include <vector>

namespace lacewingsail {

/// \brief A host's request for tokens of a client account.
struct TokenDemand {
    ClientAccountId account;
    int wanted = 1;
};

/// \brief The calls between gateway hosts, over gRPC. All callbacks come on the thread of the event loop.
class GatewayCalls {
public:
    using ExchangeCallback = std::function<void(const protocol::ExchangeReply*)>;
    using TokenCallback = std::function<void(std::optional<TokenGrant>)>;

    /// \brief What came of asking a coordinator of placements.
    struct PlaceCallResult {
        /// Whether it answered in time.
        bool answered = false;
        /// Nothing if it does not know the servers either.
        std::optional<PlacementDecision> reply;
    };
    using PlacementCallback = std::function<void(const PlaceCallResult&)>;

    /// \brief How this host answers the others.
    struct Handlers {
        std::function<void(const protocol::ExchangeRequest&, protocol::ExchangeReply&)> exchange;
        /// Nothing if the account is not known here.
        std::function<std::optional<TokenGrant>(const TokenDemand&)> grantTokens;
        /// Nothing if no server of the cell is known here.
        std::function<std::optional<PlacementDecision>(const PlacementCell&, const PlacementDemand&)> place;
        std::function<void(std::span<const PlacementOutcome>)> recordOutcomes;
    };

    /// \param error set if this host cannot listen for calls.
    GatewayCalls(EventLoop&, const Endpoint& listen, Handlers, std::error_code& error);
    ~GatewayCalls();
    GatewayCalls(const GatewayCalls&) = delete;
    GatewayCalls& operator=(const GatewayCalls&) = delete;

    /// \brief Calls another host. The answer is null if it did not come in time.
    void exchange(const Endpoint&, std::unique_ptr<protocol::ExchangeRequest>, ExchangeCallback);

    /// \brief Draws tokens from another host. The answer is empty if it did not come in time or the account is unknown there.
    void requestTokens(const Endpoint&, const TokenDemand&, TokenCallback);

    /// \brief Has another host choose a server of \p cell, and tells it how earlier requests ended.
    void place(const Endpoint&, const PlacementCell& cell, const PlacementDemand&, const std::vector<PlacementOutcome>&, PlacementCallback);

    /// \brief Tells another host how requests ended that it placed. What is lost lapses there with the requests' deadlines.
    void reportOutcomes(const Endpoint&, const std::vector<PlacementOutcome>&);

private:
    struct Implementation;
    std::unique_ptr<Implementation> m_implementation;
};

} // namespace lacewingsail
