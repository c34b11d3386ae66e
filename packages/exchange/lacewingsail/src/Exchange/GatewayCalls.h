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

/// \brief Calls between gateway hosts over gRPC, both client and server side. All callbacks run on the event loop's thread.
class GatewayCalls {
public:
    using ExchangeCallback = std::function<void(const protocol::ExchangeReply*)>;
    using TokenCallback = std::function<void(std::optional<TokenGrant>)>;

    /// \brief Result of asking a coordinator for a placement.
    struct PlaceCallResult {
        /// Whether the coordinator answered in time.
        bool answered = false;
        /// Nothing if there was no answer or the coordinator knows no server of the cell.
        std::optional<PlacementDecision> reply;
    };
    using PlacementCallback = std::function<void(const PlaceCallResult&)>;

    /// \brief Handlers of the calls from other hosts.
    struct Handlers {
        std::function<void(const protocol::ExchangeRequest&, protocol::ExchangeReply&)> exchange;
        /// Returns nothing if the account is unknown here.
        std::function<std::optional<TokenGrant>(const TokenDemand&)> grantTokens;
        /// Returns nothing if no server of the cell is known here.
        std::function<std::optional<PlacementDecision>(const PlacementCell&, const PlacementDemand&)> place;
        std::function<void(std::span<const PlacementOutcome>)> recordOutcomes;
    };

    /// \param error set if this host cannot listen for calls.
    GatewayCalls(EventLoop&, const Endpoint& listen, Handlers, std::error_code& error);
    ~GatewayCalls();
    GatewayCalls(const GatewayCalls&) = delete;
    GatewayCalls& operator=(const GatewayCalls&) = delete;

    /// \brief Exchanges state with another host. The reply is null if it did not come in time.
    void exchange(const Endpoint&, std::unique_ptr<protocol::ExchangeRequest>, ExchangeCallback);

    /// \brief Requests tokens from another host. The result is empty if it did not come in time or the account is unknown there.
    void requestTokens(const Endpoint&, const TokenDemand&, TokenCallback);

    /// \brief Asks another host to choose a server of \p cell, and reports to it how earlier requests ended.
    void place(const Endpoint&, const PlacementCell& cell, const PlacementDemand&, const std::vector<PlacementOutcome>&, PlacementCallback);

    /// \brief Reports to another host the outcomes of requests that it placed. Placements whose report is lost expire there at
    /// the requests' deadlines.
    void reportOutcomes(const Endpoint&, const std::vector<PlacementOutcome>&);

private:
    struct Implementation;
    std::unique_ptr<Implementation> m_implementation;
};

} // namespace lacewingsail
