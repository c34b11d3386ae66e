#include <lacewingsail/Wire.h>

#include <openssl/evp.h>
#include <openssl/rand.h>

#include <cassert>
#include <cstdlib>
#include <vector>

namespace lacewingsail {

namespace internal {

    std::string hexadecimal(const unsigned char* bytes, std::size_t count)
    {
        constexpr char digits[] = "0123456789abcdef";
        std::string result(count * 2, '0');
        for (std::size_t index = 0; index < count; ++index) {
            result[2 * index] = digits[bytes[index] >> 4];
            result[2 * index + 1] = digits[bytes[index] & 0xf];
        }
        return result;
    }

} // namespace internal

std::string sha256(std::string_view text)
{
    unsigned char digest[EVP_MAX_MD_SIZE];
    unsigned size = 0;
    if (EVP_Digest(text.data(), text.size(), digest, &size, EVP_sha256(), nullptr) != 1)
        std::abort();
    return internal::hexadecimal(digest, size);
}

std::string randomHex(int bytes)
{
    assert(bytes > 0);
    std::vector<unsigned char> buffer(static_cast<std::size_t>(bytes));
    // Without a working generator keys would be guessable; there is nothing sensible to go on with.
    if (RAND_bytes(buffer.data(), bytes) != 1)
        std::abort();
    return internal::hexadecimal(buffer.data(), buffer.size());
}

} // namespace lacewingsail
