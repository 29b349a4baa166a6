#pragma once

#include <cstddef>
#include <string_view>

namespace crocuscove::http {

/// Counts the bytes of a request line with its headers, up to the empty line that ends them.
class RequestHeadScanner {
public:
    void reset() { *this = {}; }

    void scan(std::string_view bytes)
    {
        for (const char byte : bytes) {
            if (m_isComplete) {
                return;
            }
            ++m_size;
            if (byte == '\n') {
                // Empty lines before the request line don't end a head.
                m_isComplete = m_isLineEmpty && m_hasText;
                m_isLineEmpty = true;
            } else if (byte != '\r') {
                m_isLineEmpty = false;
                m_hasText = true;
            }
        }
    }

    [[nodiscard]] std::size_t size() const { return m_size; }

private:
    std::size_t m_size = 0;
    bool m_isLineEmpty = true;
    bool m_hasText = false;
    bool m_isComplete = false;
};

} // namespace crocuscove::http
