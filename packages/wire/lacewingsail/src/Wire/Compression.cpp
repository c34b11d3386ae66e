#include <lacewingsail/Wire.h>

#include <stdexcept>
#include <zstd.h>

namespace lacewingsail {

std::string compress(std::string_view text)
{
    std::string frame(ZSTD_compressBound(text.size()), '\0');
    const std::size_t size = ZSTD_compress(frame.data(), frame.size(), text.data(), text.size(), ZSTD_CLEVEL_DEFAULT);
    if (ZSTD_isError(size))
        throw std::runtime_error(ZSTD_getErrorName(size));
    frame.resize(size);
    return frame;
}

std::optional<std::string> decompress(std::string_view frame, std::size_t maxBytes)
{
    const unsigned long long textBytes = ZSTD_getFrameContentSize(frame.data(), frame.size());
    if (textBytes == ZSTD_CONTENTSIZE_ERROR || textBytes == ZSTD_CONTENTSIZE_UNKNOWN || textBytes > maxBytes)
        return std::nullopt;
    std::string text(textBytes, '\0');
    const std::size_t size = ZSTD_decompress(text.data(), text.size(), frame.data(), frame.size());
    if (ZSTD_isError(size) || size != text.size())
        return std::nullopt;
    return text;
}

} // namespace lacewingsail
