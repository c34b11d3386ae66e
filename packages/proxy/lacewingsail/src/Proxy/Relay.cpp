#include "Relay.h"

#include "AnswerDigest.h"
#include "AnswerSource.h"
#include "Dispatch.h"
#include "Resume.h"

#include <lacewingsail/HttpResponses.h>

#include <algorithm>

namespace lacewingsail::internal {

namespace {

    // Answers up to this size are read whole before their first byte goes to the caller.
    constexpr std::uint64_t smallAnswerBytes = 64 * 1024;
    // An answer that has begun and then sends no byte for this long has stalled.
    constexpr std::chrono::seconds stallBound { 2 };
    constexpr std::chrono::seconds callerWriteTimeout { 60 };
    constexpr int mostResumes = 3;
    constexpr std::string_view digestMismatch = "digest does not match the body";

    // Prepares the header for the caller; the length stays as the backend server gave it.
    http::response<http::empty_body> headerFor(const AnswerSource& source, RequestContext& request)
    {
        http::response<http::empty_body> header(source.header());
        const bool chunked = source.chunked();
        stripForCaller(header);
        header.set(requestIdField, request.id.value());
        header.version(11);
        // Setting chunked(false) would drop the length.
        if (chunked)
            header.chunked(true);
        header.keep_alive(!settleClosing(request));
        return header;
    }

    net::awaitable<bool> writeHeader(RequestContext& request, const AnswerSource& source, beast::tcp_stream& caller)
    {
        const auto header = headerFor(source, request);
        http::response_serializer<http::empty_body, http::fields> serializer(header);
        boost::system::error_code error;
        caller.expires_after(callerWriteTimeout);
        co_await http::async_write_header(caller, serializer, net::redirect_error(net::use_awaitable, error));
        co_return !error;
    }

    template <typename Buffers>
    net::awaitable<bool> writeBytes(beast::tcp_stream& caller, Buffers buffers)
    {
        boost::system::error_code error;
        caller.expires_after(callerWriteTimeout);
        co_await net::async_write(caller, std::move(buffers), net::redirect_error(net::use_awaitable, error));
        co_return !error;
    }

    void reportBroken(RequestContext& request, const AttemptTarget& target, const boost::system::error_code& error, MonotonicTime begunAt)
    {
        if (request.callerDisconnected)
            return reportAttempt(request, target, AttemptOutcome::Cancelled, begunAt);
        if (isRefusal(error))
            recordRefusedResponse(request, target, error.message());
        reportAttempt(request, target, error == beast::error::timeout ? AttemptOutcome::Stalled : AttemptOutcome::ConnectionBroken, begunAt);
    }

    ResultCode codeOf(const boost::system::error_code& error)
    {
        return error == beast::error::timeout ? ResultCode::UpstreamTimeout : ResultCode::UpstreamBroken;
    }

    void keepUpstream(RequestContext& request, const AttemptTarget& target, AnswerSource& source)
    {
        if (auto connection = source.release())
            request.thread.pool.put(target.load, std::move(connection));
    }

    RecordedResponse recordOf(const ResponseHeader& header)
    {
        RecordedResponse answer;
        answer.status = static_cast<int>(header.result_int());
        answer.contentType = std::string(header[http::field::content_type]);
        answer.bodyKept = false;
        return answer;
    }

    bool isSmall(const AnswerSource& source)
    {
        return source.done() || (source.length() && *source.length() <= smallAnswerBytes);
    }

    net::awaitable<RelayResult> relaySmall(RequestContext& request, AttemptTarget& target, AnswerSource& source, beast::tcp_stream& caller)
    {
        const MonotonicTime begunAt = request.thread.services.clock.now();
        AnswerDigest digest(source.header());
        std::string body;
        boost::system::error_code error;
        while (!source.done() && !error) {
            const Duration left = request.deadline - request.thread.services.clock.now();
            body += co_await source.read(std::clamp<Duration>(left, Duration::zero(), stallBound), error);
        }
        request.cancelAttempt = nullptr;
        if (error) {
            reportBroken(request, target, error, begunAt);
            co_return RelayResult { RelayEnd::NotBegun, std::nullopt, codeOf(error) };
        }
        digest.update(body);
        // An answer without a body, such as that to HEAD, has the digest of the body it stands for.
        if (!body.empty() && !digest.matches()) {
            recordRefusedResponse(request, target, digestMismatch);
            reportAttempt(request, target, AttemptOutcome::InvalidResponse, begunAt);
            co_return RelayResult { RelayEnd::NotBegun, std::nullopt, ResultCode::UpstreamWrongAnswer };
        }
        RecordedResponse record = recordOf(source.header());
        record.body = body;
        record.bodyKept = true;
        keepUpstream(request, target, source);
        const bool sent = co_await writeHeader(request, source, caller) && co_await writeBytes(caller, net::buffer(body));
        co_return RelayResult { sent ? RelayEnd::Whole : RelayEnd::Broken, std::move(record), sent ? ResultCode::Ok : ResultCode::UpstreamBroken };
    }

    // Later work follows the newest snapshot: a server that is leaving by now must not get the rest.
    void refreshSnapshot(RequestContext& request)
    {
        auto fresh = request.thread.services.snapshot.current();
        if (!fresh->tables || !fresh->tables->services.contains(request.route->service))
            return;
        request.earlierSnapshots.push_back(std::exchange(request.snapshot, std::move(fresh)));
    }

    // Finds a backend server that continues the download. \returns null if none does.
    net::awaitable<std::unique_ptr<AnswerSource>> continueDownload(RequestContext& request, AttemptTarget& target, const Download& download, std::uint64_t sent)
    {
        request.avoided.push_back(target.server->id);
        refreshSnapshot(request);
        request.deadline = request.thread.services.clock.now() + request.route->deadline;
        askForRest(request.message, download, sent);
        AttemptResult result = co_await dispatch(request, target);
        auto* begun = std::get_if<AnswerBegun>(&result);
        if (!begun || !isRestOf(begun->parser->get(), download, sent)) {
            request.cancelAttempt = nullptr;
            co_return nullptr;
        }
        co_return std::make_unique<AnswerSource>(std::move(*begun));
    }

    net::awaitable<bool> writePiece(const AnswerSource& source, std::string_view piece, beast::tcp_stream& caller)
    {
        if (piece.empty())
            co_return true;
        if (source.chunked())
            co_return co_await writeBytes(caller, http::make_chunk(net::buffer(piece)));
        co_return co_await writeBytes(caller, net::buffer(piece));
    }

    /// \brief An answer on its way to the caller.
    struct Stream {
        std::unique_ptr<AnswerSource> source;
        std::optional<Download> download;
        AnswerDigest digest;
        std::uint64_t sent = 0;
        int resumes = 0;
    };

    net::awaitable<bool> resume(RequestContext& request, AttemptTarget& target, Stream& stream)
    {
        const bool mayResume = stream.download && request.route->repeatable && !request.callerDisconnected;
        if (!mayResume || ++stream.resumes > mostResumes)
            co_return false;
        auto rest = co_await continueDownload(request, target, *stream.download, stream.sent);
        if (!rest)
            co_return false;
        stream.source = std::move(rest);
        request.thread.services.metrics.counter("downloads_resumed_total", "service", target.service->id.value()).fetch_add(1, std::memory_order_relaxed);
        co_return true;
    }

    // Passes pieces on until the answer is whole (Ok) or cannot be made so.
    net::awaitable<ResultCode> pump(RequestContext& request, AttemptTarget& target, Stream& stream, beast::tcp_stream& caller)
    {
        while (!stream.source->done()) {
            const MonotonicTime begunAt = request.thread.services.clock.now();
            boost::system::error_code error;
            const std::string_view piece = co_await stream.source->read(stallBound, error);
            stream.digest.update(piece);
            // A wrong digest shows only at the end; the last piece is held back so that the caller sees a cut.
            if (stream.source->done() && !stream.digest.matches()) {
                recordRefusedResponse(request, target, digestMismatch);
                reportAttempt(request, target, AttemptOutcome::InvalidResponse, begunAt);
                co_return ResultCode::UpstreamWrongAnswer;
            }
            if (!co_await writePiece(*stream.source, piece, caller))
                co_return ResultCode::UpstreamBroken;
            stream.sent += piece.size();
            if (!error)
                continue;
            reportBroken(request, target, error, begunAt);
            if (!co_await resume(request, target, stream))
                co_return codeOf(error);
        }
        co_return ResultCode::Ok;
    }

    net::awaitable<RelayResult> relayLong(RequestContext& request, AttemptTarget& target, std::unique_ptr<AnswerSource> source, beast::tcp_stream& caller)
    {
        const ResponseHeader& header = source->header();
        RelayResult result { RelayEnd::Broken, recordOf(header), ResultCode::UpstreamBroken };
        if (!co_await writeHeader(request, *source, caller))
            co_return result;
        Stream stream { nullptr, downloadOf(request.message, header), AnswerDigest(header), 0, 0 };
        stream.source = std::move(source);
        result.code = co_await pump(request, target, stream, caller);
        request.cancelAttempt = nullptr;
        if (result.code != ResultCode::Ok)
            co_return result;
        if (stream.source->chunked() && !co_await writeBytes(caller, http::make_chunk_last()))
            co_return result;
        keepUpstream(request, target, *stream.source);
        result.end = RelayEnd::Whole;
        co_return result;
    }

} // namespace

bool settleClosing(RequestContext& request)
{
    request.closing = request.draining || !request.message.keep_alive();
    return request.closing;
}

net::awaitable<RelayResult> relay(RequestContext& request, AttemptTarget& target, AnswerBegun begun, beast::tcp_stream& caller)
{
    auto source = std::make_unique<AnswerSource>(std::move(begun));
    if (isSmall(*source))
        co_return co_await relaySmall(request, target, *source, caller);
    co_return co_await relayLong(request, target, std::move(source), caller);
}

} // namespace lacewingsail::internal
