#include "FieldLine.h"

#include <algorithm>

namespace lacewingsail::internal {

namespace {

    bool isControl(char character)
    {
        const auto value = static_cast<unsigned char>(character);
        return (value < 0x20 && character != '\t') || value == 0x7f;
    }

    bool isTokenCharacter(char character)
    {
        constexpr std::string_view marks = "!#$%&'*+-.^_`|~";
        const bool letter = (character >= 'a' && character <= 'z') || (character >= 'A' && character <= 'Z');
        return letter || (character >= '0' && character <= '9') || marks.find(character) != std::string_view::npos;
    }

} // namespace

bool hasControlCharacter(std::string_view line) { return std::any_of(line.begin(), line.end(), isControl); }

bool isFieldLine(std::string_view line)
{
    const std::size_t colon = line.find(':');
    if (colon == 0 || colon == std::string_view::npos)
        return false;
    const std::string_view name = line.substr(0, colon);
    return std::all_of(name.begin(), name.end(), isTokenCharacter);
}

} // namespace lacewingsail::internal
