#pragma once

#include "Asio.h"

#include <functional>
#include <memory>
#include <utility>

namespace lacewingsail::internal {

/// \brief Waits in a coroutine for an answer that comes through a callback, at once or from another thread.
/// \param start gets the callback, which must be called exactly once.
template <typename Result, typename Start>
net::awaitable<Result> awaitAnswer(Start start)
{
    auto executor = co_await net::this_coro::executor;
    auto initiate = [executor, start = std::move(start)](auto handler) mutable {
        auto shared = std::make_shared<decltype(handler)>(std::move(handler));
        start([executor, shared](Result result) {
            net::post(executor, [shared, result = std::move(result)]() mutable { std::move (*shared)(std::move(result)); });
        });
    };
    co_return co_await net::async_initiate<const net::use_awaitable_t<>, void(Result)>(std::move(initiate), net::use_awaitable);
}

} // namespace lacewingsail::internal
