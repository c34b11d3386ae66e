#pragma once

#include "ForwardDeclarations.h"
#include "PlacementCoordinator.h"

#include <lacewingsail/Policy.h>

#include <functional>
#include <memory>
#include <optional>
#include <vector>

namespace lacewingsail {

/// \brief A host's request for tokens of a client account.
struct TokenDemand {
    ClientAccountId account;
    int wanted = 1;
};

/// \brief Calls to other gateway hosts. All callbacks run on the event loop's thread.
class HostCalls {
public:
    /// The reply is null if it did not come in time.
    using ExchangeCallback = std::function<void(const protocol::ExchangeReply*)>;

    /// \brief Result of requesting tokens.
    struct TokenCallResult {
        /// Whether the other host answered in time.
        bool answered = false;
        /// Nothing if there was no answer or the other host does not coordinate the account.
        std::optional<TokenGrant> grant;
    };
    using TokenCallback = std::function<void(const TokenCallResult&)>;

    /// \brief Result of asking a coordinator for a placement.
    struct PlaceCallResult {
        /// Whether the coordinator answered in time.
        bool answered = false;
        /// Nothing if there was no answer or the coordinator knows no server of the cell.
        std::optional<PlacementDecision> reply;
    };
    using PlacementCallback = std::function<void(const PlaceCallResult&)>;
    /// Called with whether the other host acknowledged the outcomes; without an acknowledgement it may have recorded them.
    using DeliveryCallback = std::function<void(bool acknowledged)>;

    virtual ~HostCalls() = default;

    /// \brief Exchanges state with another host.
    virtual void exchange(const Endpoint&, std::unique_ptr<protocol::ExchangeRequest>, ExchangeCallback) = 0;

    /// \brief Requests tokens from the host that coordinates an account.
    virtual void requestTokens(const Endpoint&, const TokenDemand&, TokenCallback) = 0;

    /// \brief Asks another host to choose a server of \p cell, and reports to it how earlier requests ended.
    virtual void place(const Endpoint&, const PlacementCell& cell, const PlacementDemand&, const std::vector<PlacementOutcome>&, PlacementCallback) = 0;

    /// \brief Reports to another host the outcomes of requests that it placed.
    virtual void reportOutcomes(const Endpoint&, const std::vector<PlacementOutcome>&, DeliveryCallback) = 0;
};

} // namespace lacewingsail
