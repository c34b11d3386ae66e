#pragma once

#include "HeaderRules.h"

#include <memory>
#include <string>
#include <string_view>

struct evp_md_ctx_st;

namespace lacewingsail::internal {

/// \brief Checks the digest that an answer announces of itself, if there is one that can be checked: SHA-256 in
/// `Repr-Digest`, `Content-Digest` or `Digest`, or `Content-MD5`, of a whole (200) answer.
class AnswerDigest {
public:
    explicit AnswerDigest(const ResponseHeader&);
    ~AnswerDigest();
    AnswerDigest(const AnswerDigest&) = delete;
    AnswerDigest& operator=(const AnswerDigest&) = delete;

    void update(std::string_view bytes);

    /// \returns whether the bytes have the announced digest; true if none is announced. To be called once.
    bool matches();

private:
    std::string m_expected;
    evp_md_ctx_st* m_context = nullptr;
};

} // namespace lacewingsail::internal
