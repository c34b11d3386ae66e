#pragma once

#include "LimitLedgers.h"

#include <lacewingsail/limits.pb.h>

#include <span>
#include <vector>

namespace lacewingsail::internal {

/// \brief Conversions between the types of LimitLedgers and protobuf messages. Entries of a reply that refer to
/// no entry of the request or have negative amounts are ignored.
protocol::LoanRequest loanRequest(const HostId& pooler, const IncarnationId&, std::span<const ClientAccountId> accounts);
std::vector<ClientAccountId> accountsOf(const protocol::LoanRequest&);
protocol::LoanReply loanReply(const protocol::LoanRequest&, std::span<const LoanOffer>);
std::vector<LoanOffer> offersOf(const protocol::LoanRequest&, const protocol::LoanReply&);

protocol::DrawRequest drawRequest(const HostId& host, const IncarnationId&, std::span<const BlockRequest>);
std::vector<BlockRequest> blockRequestsOf(const protocol::DrawRequest&);
protocol::DrawReply drawReply(const protocol::DrawRequest&, std::span<const BlockGrant>);
std::vector<BlockGrant> grantsOf(const protocol::DrawRequest&, const protocol::DrawReply&);

} // namespace lacewingsail::internal
