#include <lacewingsail/World.h>

#include <doctest/doctest.h>

#include <fstream>
#include <sstream>

using namespace lacewingsail;

namespace {

struct ResultCodeFixture {
    std::string page;

    ResultCodeFixture()
    {
        std::ifstream stream(LACEWINGSAIL_SOURCE_DIR "/docs/RESULT-CODES.md");
        std::ostringstream content;
        content << stream.rdbuf();
        page = content.str();
    }

    static std::string rowOf(const ResultCodeEntry& entry)
    {
        std::ostringstream row;
        row << "| " << static_cast<int>(entry.code) << " | " << entry.name << " | " << entry.httpStatus << " | " << entry.meaning << " |\n";
        return row.str();
    }
};

} // namespace

TEST_CASE_FIXTURE(ResultCodeFixture, "resultCodes, documented table, has exactly the same rows")
{
    std::size_t rows = 0;
    for (const ResultCodeEntry& entry : resultCodes()) {
        CHECK_MESSAGE(page.find(rowOf(entry)) != std::string::npos, rowOf(entry));
        ++rows;
    }
    std::size_t documented = 0;
    std::istringstream lines(page);
    for (std::string line; std::getline(lines, line);)
        documented += line.rfind("| ", 0) == 0 && line.size() > 2 && std::isdigit(static_cast<unsigned char>(line[2])) ? 1 : 0;
    CHECK(documented == rows);
}
