#include "RequestPath.h"

#include "Await.h"
#include "BookingStep.h"
#include "Dispatch.h"
#include "Refusal.h"
#include "Relay.h"

#include <lacewingsail/Wire.h>

namespace lacewingsail::internal {

namespace {

    constexpr std::chrono::seconds answerWriteTimeout { 30 };
    constexpr int mostBrokenAnswers = 3;
    constexpr std::string_view openAccountLabel = "(open)";

    ResultCode route(RequestContext& request)
    {
        if (!request.snapshot->tables)
            return ResultCode::NoConfiguration;
        const auto method = request.message.method_string();
        const auto target = request.message.target();
        request.route = findRoute(request.snapshot->tables->routes, { method.data(), method.size() }, { target.data(), target.size() });
        if (!request.route)
            return ResultCode::NoRoute;
        request.deadline = request.arrivedAt + request.route->deadline;
        return ResultCode::Ok;
    }

    ResultCode identifyAccount(RequestContext& request)
    {
        if (request.route->access == Access::Open)
            return ResultCode::Ok;
        if (keysAreStale(*request.snapshot, request.thread.services.clock.now()))
            return ResultCode::KeysStale;
        const std::string_view secret = presentedSecret(request.message);
        const std::string digest = secret.empty() ? std::string() : sha256(secret);
        const Identification identification = identify(request.snapshot->tables->keys, *request.snapshot->withdrawnKeys, digest);
        if (identification.code == ResultCode::Ok)
            request.account = &request.snapshot->tables->configuration->accounts[static_cast<std::size_t>(identification.account)];
        return identification.code;
    }

    net::awaitable<ResultCode> admitAccount(RequestContext& request)
    {
        if (!request.account)
            co_return ResultCode::Ok;
        co_return co_await awaitAnswer<ResultCode>([&request](std::function<void(ResultCode)> answer) {
            request.thread.services.admission.admit(*request.account, request.deadline, std::move(answer));
        });
    }

    net::awaitable<ResultCode> decide(RequestContext& request)
    {
        if (const ResultCode code = route(request); code != ResultCode::Ok)
            co_return code;
        if (const ResultCode code = identifyAccount(request); code != ResultCode::Ok)
            co_return code;
        co_return co_await admitAccount(request);
    }

    std::string_view accountLabel(const RequestContext& request)
    {
        return request.account ? std::string_view(request.account->id.value()) : openAccountLabel;
    }

    void recordEnd(const RequestContext& request, ResultCode code, const AttemptTarget& target)
    {
        const ProxyServices& services = request.thread.services;
        const auto elapsed = std::chrono::duration_cast<std::chrono::microseconds>(services.clock.now() - request.arrivedAt);
        request.thread.requests.at(entryOf(code).name).fetch_add(1, std::memory_order_relaxed);
        request.thread.times.at(accountLabel(request)).fill(elapsed);
        if (code == ResultCode::Ok)
            return;
        Event event("request-refused");
        event.with("request", request.id).with("result", code).with("account", accountLabel(request)).with("host", services.settings.id);
        if (request.route)
            event.with("route", request.route->id);
        if (target.server)
            event.with("service", target.service->id).with("server", target.server->id);
        services.journal.record(event);
    }

    net::awaitable<bool> refuse(RequestContext& request, beast::tcp_stream& caller, Answer answer, ResultCode code, const AttemptTarget& target)
    {
        recordEnd(request, code, target);
        const bool closing = settleClosing(request);
        const bool sent = co_await sendAnswer(caller, std::move(answer), closing);
        co_return sent && !closing;
    }

    net::awaitable<bool> refuse(RequestContext& request, beast::tcp_stream& caller, const NotRun& notRun, const AttemptTarget& target)
    {
        co_return co_await refuse(request, caller, refusal(notRun, request.id), notRun.code(), target);
    }

    net::awaitable<bool> refuse(RequestContext& request, beast::tcp_stream& caller, const OutcomeUnknown& unknown, const AttemptTarget& target)
    {
        co_return co_await refuse(request, caller, refusal(unknown, request.id), unknown.code(), target);
    }

    net::awaitable<bool> replay(RequestContext& request, beast::tcp_stream& caller, const RecordedResponse& recorded)
    {
        recordEnd(request, ResultCode::Ok, {});
        const bool closing = settleClosing(request);
        const bool sent = co_await sendAnswer(caller, replayedAnswer(recorded, request.id), closing);
        co_return sent && !closing;
    }

    // A broken answer of which the caller has seen nothing may be asked for again where that does no harm.
    bool mayAskAgain(RequestContext& request, const AttemptTarget& target, int asked)
    {
        if (!request.route->repeatable || request.callerDisconnected || asked >= mostBrokenAnswers)
            return false;
        request.avoided.push_back(target.server->id);
        return request.thread.services.clock.now() < request.deadline;
    }

    net::awaitable<bool> run(RequestContext& request, beast::tcp_stream& caller, BookingEnd& end)
    {
        ResultCode broken = ResultCode::Ok;
        for (int asked = 1;; ++asked) {
            AttemptTarget target;
            AttemptResult result = co_await dispatch(request, target);
            // The connection of an attempt without an answer is gone.
            if (!std::holds_alternative<AnswerBegun>(result))
                request.cancelAttempt = nullptr;
            // The last attempt did not run, but one before it may have.
            if (const auto* notRun = std::get_if<NotRun>(&result); notRun && request.mayHaveRun)
                co_return co_await refuse(request, caller, OutcomeUnknown(broken == ResultCode::Ok ? notRun->code() : broken), target);
            if (const auto* notRun = std::get_if<NotRun>(&result)) {
                end.settle(BookingResult::NotRun);
                co_return co_await refuse(request, caller, *notRun, target);
            }
            if (const auto* unknown = std::get_if<OutcomeUnknown>(&result))
                co_return co_await refuse(request, caller, *unknown, target);
            const RelayResult relayed = co_await relay(request, target, std::move(std::get<AnswerBegun>(result)), caller);
            if (relayed.answer)
                end.settle(BookingResult::Answered, *relayed.answer);
            broken = relayed.code;
            request.mayHaveRun = true;
            if (relayed.end == RelayEnd::NotBegun && mayAskAgain(request, target, asked))
                continue;
            if (relayed.end == RelayEnd::NotBegun)
                co_return co_await refuse(request, caller, OutcomeUnknown(relayed.code), target);
            recordEnd(request, relayed.code, target);
            co_return relayed.end == RelayEnd::Whole && !request.closing;
        }
    }

} // namespace

net::awaitable<bool> sendAnswer(beast::tcp_stream& caller, http::response<http::string_body> answer, bool closing)
{
    answer.keep_alive(!closing);
    answer.prepare_payload();
    boost::system::error_code error;
    caller.expires_after(answerWriteTimeout);
    co_await http::async_write(caller, answer, net::redirect_error(net::use_awaitable, error));
    co_return !error;
}

net::awaitable<bool> serveRequest(RequestContext& request, beast::tcp_stream& caller)
{
    if (const ResultCode code = co_await decide(request); code != ResultCode::Ok)
        co_return co_await refuse(request, caller, UnsentAttempt().refuse(code), {});
    const BookingStep step = co_await claimBooking(request);
    if (const auto* recorded = std::get_if<RecordedResponse>(&step))
        co_return co_await replay(request, caller, *recorded);
    if (const auto* notRun = std::get_if<NotRun>(&step))
        co_return co_await refuse(request, caller, *notRun, {});
    if (const auto* unknown = std::get_if<OutcomeUnknown>(&step))
        co_return co_await refuse(request, caller, *unknown, {});
    BookingEnd end(request, std::get<MayRun>(step));
    co_return co_await run(request, caller, end);
}

} // namespace lacewingsail::internal
