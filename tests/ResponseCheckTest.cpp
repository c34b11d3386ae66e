#include <lacewingsail/Http.h>

#include <doctest/doctest.h>

#include <array>
#include <string>

using namespace lacewingsail;

namespace {

std::error_code checkHead(const std::string& head)
{
    ResponseHeadCheck check;
    return check.check(head);
}

std::string headWith(const std::string& fields) { return "HTTP/1.1 200 OK\r\n" + fields + "\r\n\r\n"; }

} // namespace

TEST_CASE("ResponseHeadCheck, valid heads, are complete with their empty line")
{
    constexpr std::array statusLines { "HTTP/1.1 200 OK", "HTTP/1.0 200 OK", "HTTP/1.1 100 Continue", "HTTP/1.1 599 ", "HTTP/1.1 404 \xe9t\xe9\t!" };
    constexpr std::array fields { "A: 1", "!#$%&'*+-.^_`|~09azAZ:", "A:\t \xff b \t", "Content-Length: 0\r\nA: 1", "A: 1\r\nB: HTTP/1.1" };
    for (const std::string statusLine : statusLines) {
        for (const std::string lines : fields) {
            const std::string head = statusLine + "\r\n" + lines + "\r\n\r\n";
            ResponseHeadCheck check;
            CHECK_FALSE(check.check(head + "body"));
            CHECK(check.size() == head.size());
        }
    }
}

TEST_CASE("ResponseHeadCheck, head byte by byte, is complete with its last one")
{
    const std::string head = headWith("A: 1\r\nContent-Length: 4");
    ResponseHeadCheck check;
    for (std::size_t size = 0; size < head.size(); ++size) {
        CHECK_FALSE(check.check(std::string_view(head).substr(0, size)));
        CHECK(check.size() == 0);
    }
    CHECK_FALSE(check.check(head));
    CHECK(check.size() == head.size());
}

TEST_CASE("ResponseHeadCheck, status outside the range, is refused")
{
    for (const char* status : { "000", "001", "099", "101", "600", "999" })
        CHECK(checkHead("HTTP/1.1 " + std::string(status) + " X\r\n") == ResponseFault::InvalidStatus);
}

TEST_CASE("ResponseHeadCheck, bytes that begin no status line, are refused at once")
{
    for (const char* bytes : { "X", "HTTP/2", "HTTP/1.1 2000 X\r\n", "HTTP/1.1 20 X\r\n", "HTTP/1.1 200\r\n", "HTTP/1.1  200 X\r\n", "HTTP/1.2 200 X\r\n", "HTTP/1.1 2x0 X\r\n", "HTTP/1.1 -20 X\r\n", "\r\n", "\n", "HTTP/1.1 200 X\n", "HTTP/1.1 200 \x01\r\n" })
        CHECK(checkHead(bytes) == ResponseFault::MalformedHead);
}

TEST_CASE("ResponseHeadCheck, field name with a blank or a control byte, is refused")
{
    for (const char* line : { " A: 1", "\tA: 1", " ", "A : 1", "A\t: 1", "A B: 1", "\x01"
                                                                                   "A: 1",
             "A\x1f: 1", "A\x7f: 1", ": 1", "A", "(A): 1", "\xe9: 1" }) {
        CHECK(checkHead(headWith(line)) == ResponseFault::MalformedHead);
        CHECK(checkHead(headWith("B: 1\r\n" + std::string(line))) == ResponseFault::MalformedHead);
    }
}

TEST_CASE("ResponseHeadCheck, value with a control byte or a bare line end, is refused")
{
    for (const std::string& line : { std::string("A: \x01"), std::string("A: a\0b", 6), std::string("A: a\rb"), std::string("A: a\nB: b"), std::string("A: \x7f") })
        CHECK(checkHead(headWith(line)) == ResponseFault::MalformedHead);
}

TEST_CASE("ResponseHeadCheck, status line inside a field or the reason, is refused")
{
    CHECK(checkHead(headWith("A: 1HTTP/1.1 200 OK")) == ResponseFault::RunsIntoAnother);
    CHECK(checkHead("HTTP/1.1 503 XHTTP/1.1 200 OK\r\n") == ResponseFault::RunsIntoAnother);
}

TEST_CASE("ResponseHeadCheck, length of the body that can be read in several ways, is refused")
{
    for (const char* lines : { "Transfer-Encoding: gzip", "Transfer-Encoding: gzip, chunked", "Transfer-Encoding: chunked, gzip", "Transfer-Encoding:", "transfer-encoding: identity",
             "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked", "Transfer-Encoding: chunked\r\nContent-Length: 4", "Content-Length: 4\r\nTransfer-Encoding: chunked" })
        CHECK(checkHead(headWith(lines)) == ResponseFault::AmbiguousFraming);
    CHECK(checkHead("HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n") == ResponseFault::AmbiguousFraming);
    for (const char* statusLine : { "HTTP/1.1 103 X", "HTTP/1.1 204 X" }) {
        CHECK(checkHead(statusLine + std::string("\r\nContent-Length: 4\r\n\r\n")) == ResponseFault::AmbiguousFraming);
        CHECK(checkHead(statusLine + std::string("\r\nTransfer-Encoding: chunked\r\n\r\n")) == ResponseFault::AmbiguousFraming);
        CHECK_FALSE(checkHead(statusLine + std::string("\r\nContent-Length: 0\r\n\r\n")));
    }
    CHECK_FALSE(checkHead(headWith("Transfer-Encoding: \tChunked ")));
    CHECK_FALSE(checkHead("HTTP/1.1 304 X\r\nContent-Length: 4\r\n\r\n"));
}

TEST_CASE("checkTrailer, valid trailers, are accepted")
{
    for (const char* end : { "0\r\n\r\n", "4\r\nbody\r\n0\r\n\r\n", "4\r\nbody\r\n000;a=\"x: y\"\r\nA: 1\r\n0: 2\r\n\r\n", "4\r\n 1\r\n\r\n0 ;a\r\nA: 1\r\n\r\n" })
        CHECK_FALSE(checkTrailer(end));
}

TEST_CASE("checkTrailer, malformed trailers, are refused")
{
    for (const char* end : { "0\r\n A: 1\r\n\r\n", "0\r\nA: 1\r\n B: 2\r\n\r\n", "0\r\nA: 1\r\n \r\n\r\n", "0\r\nA : 1\r\n\r\n", "0\r\nA: \x01\r\n\r\n", "0\r\nA\r\n\r\n" })
        CHECK(checkTrailer(end) == ResponseFault::MalformedTrailer);
    CHECK(checkTrailer("0\r\nA: HTTP/1.1 200 OK\r\n\r\n") == ResponseFault::RunsIntoAnother);
}

TEST_CASE("isCompleteAtConnectionEnd, sending the request has met a reset, is not")
{
    CHECK(isCompleteAtConnectionEnd({}));
    CHECK(isCompleteAtConnectionEnd(std::make_error_code(std::errc::broken_pipe)));
    for (const std::errc error : { std::errc::connection_reset, std::errc::timed_out, std::errc::host_unreachable, std::errc::operation_canceled })
        CHECK_FALSE(isCompleteAtConnectionEnd(std::make_error_code(error)));
}
