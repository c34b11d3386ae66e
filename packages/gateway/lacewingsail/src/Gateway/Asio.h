#pragma once

#include <boost/asio.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

namespace lacewingsail {

namespace net = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

} // namespace lacewingsail
