#include "AnswerDigest.h"

#include <openssl/evp.h>

#include <array>

namespace lacewingsail::internal {

namespace {

    constexpr unsigned statusOk = 200;

    std::string base64(const unsigned char* bytes, unsigned size)
    {
        std::string text(4 * ((size + 2) / 3) + 1, '\0');
        const int length = EVP_EncodeBlock(reinterpret_cast<unsigned char*>(text.data()), bytes, static_cast<int>(size));
        text.resize(static_cast<std::size_t>(length));
        return text;
    }

    std::string_view trimmed(std::string_view text)
    {
        while (!text.empty() && text.front() == ' ')
            text.remove_prefix(1);
        while (!text.empty() && text.back() == ' ')
            text.remove_suffix(1);
        return text;
    }

    // Finds sha-256 in a list as "sha-256=:VALUE:, ..." or "SHA-256=VALUE,...".
    std::string sha256Of(std::string_view list)
    {
        constexpr std::string_view name = "sha-256=";
        while (!list.empty()) {
            const std::size_t comma = std::min(list.find(','), list.size());
            std::string_view member = trimmed(list.substr(0, comma));
            list.remove_prefix(std::min(comma + 1, list.size()));
            if (!beast::iequals(member.substr(0, name.size()), name))
                continue;
            member.remove_prefix(name.size());
            if (member.size() >= 2 && member.front() == ':' && member.back() == ':')
                member = member.substr(1, member.size() - 2);
            return std::string(member);
        }
        return {};
    }

    std::string_view valueOf(const ResponseHeader& header, const char* name)
    {
        const auto value = header[name];
        return { value.data(), value.size() };
    }

} // namespace

AnswerDigest::AnswerDigest(const ResponseHeader& header)
{
    if (header.result_int() != statusOk)
        return;
    const EVP_MD* algorithm = EVP_sha256();
    for (const char* name : { "Repr-Digest", "Content-Digest", "Digest" }) {
        if (m_expected.empty())
            m_expected = sha256Of(valueOf(header, name));
    }
    if (m_expected.empty()) {
        m_expected = trimmed(valueOf(header, "Content-MD5"));
        algorithm = EVP_md5();
    }
    if (m_expected.empty())
        return;
    m_context = EVP_MD_CTX_new();
    EVP_DigestInit_ex(m_context, algorithm, nullptr);
}

AnswerDigest::~AnswerDigest() { EVP_MD_CTX_free(m_context); }

void AnswerDigest::update(std::string_view bytes)
{
    if (m_context)
        EVP_DigestUpdate(m_context, bytes.data(), bytes.size());
}

bool AnswerDigest::matches()
{
    if (!m_context)
        return true;
    std::array<unsigned char, EVP_MAX_MD_SIZE> digest {};
    unsigned size = 0;
    EVP_DigestFinal_ex(m_context, digest.data(), &size);
    return base64(digest.data(), size) == m_expected;
}

} // namespace lacewingsail::internal
