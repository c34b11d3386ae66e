#include "Command.h"

#include <algorithm>
#include <array>
#include <sstream>

namespace lacewingsail {

namespace {

    constexpr std::array table {
        Command { "validate", "FILE", "check a configuration text", "", runValidate },
        Command { "diff", "FILE", "show what publishing a text would change", "", runDiff },
        Command { "publish", "FILE", "publish a text and wait until it is in force on every listed host", "replaces no-wait", runPublish },
        Command { "keys issue", "", "issue a key for a client account; its secret is shown once", "account no-wait", runKeysIssue },
        Command { "keys withdraw", "KEY", "withdraw a key on every host, also while the log is away", "", runKeysWithdraw },
        Command { "keys list", "", "list the ids of the keys and which are withdrawn", "account", runKeysList },
        Command { "status", "", "show every listed host", "", runStatus },
        Command { "explain", "TEXT", "show what hosts noted about a request, backend server, account or key", "", runExplain },
        Command { "watch", "", "print events of all hosts as they come", "", runWatch },
        Command { "drain", "HOST", "begin the planned stop of a host", "", runDrain },
        Command { "fence", "HOST", "free the limit slots of a host whose process has ended", "stopped", runFence },
        Command { "confirm", "SERVICE SERVER", "confirm the proposed ejection of a backend server on every host", "", runConfirm },
        Command { "pin", "SERVICE SERVER", "keep a backend server serving or ejected for a time, on every host", "as for", runPin },
    };

} // namespace

std::span<const Command> commands() { return table; }

std::size_t countWords(std::string_view text)
{
    std::istringstream words { std::string(text) };
    std::size_t count = 0;
    for (std::string word; words >> word;)
        ++count;
    return count;
}

const Command* findCommand(const std::vector<std::string>& words)
{
    const auto names = [&words](const Command& command) {
        if (words.size() < countWords(command.name))
            return false;
        std::string name = words.front();
        if (countWords(command.name) == 2)
            name += ' ' + words[1];
        return name == command.name;
    };
    const auto found = std::ranges::find_if(table, names);
    return found == table.end() ? nullptr : &*found;
}

Outcome failure(const std::error_code& error, std::string detail) { return { error, std::move(detail), {}, {} }; }

} // namespace lacewingsail
