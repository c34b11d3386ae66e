#include <lacewingsail/Limits.h>

#include "LimitMessages.h"

#include <unordered_map>

namespace lacewingsail::internal {

protocol::LoanRequest loanRequest(const HostId& pooler, const IncarnationId& incarnation, std::span<const ClientAccountId> accounts)
{
    protocol::LoanRequest request;
    request.set_pooler(pooler.value());
    request.set_incarnation(incarnation.value());
    for (const ClientAccountId& account : accounts)
        request.add_accounts(account.value());
    return request;
}

std::vector<ClientAccountId> accountsOf(const protocol::LoanRequest& request)
{
    std::vector<ClientAccountId> accounts;
    for (const std::string& account : request.accounts())
        accounts.emplace_back(account);
    return accounts;
}

protocol::LoanReply loanReply(const protocol::LoanRequest& request, std::span<const LoanOffer> offers)
{
    std::unordered_map<std::string, std::uint32_t> positions;
    for (int index = 0; index < request.accounts_size(); ++index)
        positions.emplace(request.accounts(index), static_cast<std::uint32_t>(index));
    protocol::LoanReply reply;
    for (const LoanOffer& offer : offers) {
        protocol::LoanEntry& entry = *reply.add_loans();
        entry.set_account(positions.at(offer.account.value()));
        entry.set_burst_microtokens(offer.loan.slice.burst.value);
        entry.set_rate_microtokens_per_second(offer.loan.slice.rate.value);
        entry.set_level_microtokens(offer.loan.available.value);
        entry.set_term_ms(static_cast<std::uint32_t>(offer.loan.term.count()));
    }
    return reply;
}

std::vector<LoanOffer> offersOf(const protocol::LoanRequest& request, const protocol::LoanReply& reply)
{
    std::vector<LoanOffer> offers;
    for (const protocol::LoanEntry& entry : reply.loans()) {
        if (entry.account() >= static_cast<std::uint32_t>(request.accounts_size()))
            continue;
        if (entry.burst_microtokens() < 0 || entry.rate_microtokens_per_second() < 0 || entry.level_microtokens() < 0)
            continue;
        const Slice slice { { entry.burst_microtokens() }, { entry.rate_microtokens_per_second() } };
        const LentSlice loan { slice, { entry.level_microtokens() }, std::chrono::milliseconds(entry.term_ms()) };
        offers.push_back({ ClientAccountId(request.accounts(static_cast<int>(entry.account()))), loan });
    }
    return offers;
}

protocol::DrawRequest drawRequest(const HostId& host, const IncarnationId& incarnation, std::span<const BlockRequest> blockRequests)
{
    protocol::DrawRequest request;
    request.set_host(host.value());
    request.set_incarnation(incarnation.value());
    for (const BlockRequest& blockRequest : blockRequests) {
        protocol::DrawEntry& entry = *request.add_entries();
        entry.set_account(blockRequest.account.value());
        entry.set_waiting(blockRequest.demand.waiting);
        entry.set_reserve(blockRequest.demand.reserve);
        entry.set_fallback(blockRequest.demand.fallback);
        for (const ClosedBlock& closed : blockRequest.closed) {
            protocol::ClosedBlock& block = *entry.add_closed();
            block.set_block(closed.id);
            block.set_unspent(static_cast<std::uint32_t>(closed.unspent));
        }
    }
    return request;
}

std::vector<BlockRequest> blockRequestsOf(const protocol::DrawRequest& request)
{
    std::vector<BlockRequest> blockRequests;
    for (const protocol::DrawEntry& entry : request.entries()) {
        BlockRequest blockRequest { ClientAccountId(entry.account()), { entry.waiting(), entry.reserve(), entry.fallback() }, {} };
        for (const protocol::ClosedBlock& closed : entry.closed())
            blockRequest.closed.push_back({ {}, closed.block(), closed.unspent() });
        blockRequests.push_back(std::move(blockRequest));
    }
    return blockRequests;
}

protocol::DrawReply drawReply(const protocol::DrawRequest& request, std::span<const BlockGrant> grants)
{
    std::unordered_map<std::string, std::uint32_t> positions;
    for (int index = 0; index < request.entries_size(); ++index)
        positions.emplace(request.entries(index).account(), static_cast<std::uint32_t>(index));
    protocol::DrawReply reply;
    for (const BlockGrant& grant : grants) {
        protocol::GrantEntry& entry = *reply.add_grants();
        entry.set_entry(positions.at(grant.account.value()));
        entry.set_block(grant.block);
        entry.set_tokens(static_cast<std::uint32_t>(grant.tokens));
        entry.set_term_ms(static_cast<std::uint32_t>(grant.term.count()));
    }
    return reply;
}

std::vector<BlockGrant> grantsOf(const protocol::DrawRequest& request, const protocol::DrawReply& reply)
{
    std::vector<BlockGrant> grants;
    for (const protocol::GrantEntry& entry : reply.grants()) {
        if (entry.entry() >= static_cast<std::uint32_t>(request.entries_size()))
            continue;
        const ClientAccountId account(request.entries(static_cast<int>(entry.entry())).account());
        grants.push_back({ account, entry.block(), entry.tokens(), std::chrono::milliseconds(entry.term_ms()) });
    }
    return grants;
}

} // namespace lacewingsail::internal
