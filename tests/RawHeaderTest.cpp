#include <lacewingsail/Http.h>

#include <doctest/doctest.h>

using namespace lacewingsail;

TEST_CASE("containsStatusLine, status line inside a field, is found")
{
    for (const char* text : { "HTTP/1.1 200 OK", "1HTTP/1.1 200 OK", "HTTP/1.HTTP/1.0 503 X", "a HTTP/1.1 500" })
        CHECK(containsStatusLine(text));
}

TEST_CASE("containsStatusLine, version without a status, is none")
{
    for (const char* text : { "", "HTTP/1.1", "HTTP/1.1 20", "HTTP/1.1 proxy", "HTTP/2.0 200", "1.1 200 OK", "HTTP/1.x 200" })
        CHECK_FALSE(containsStatusLine(text));
}
