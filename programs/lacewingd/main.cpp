/// \brief `lacewingd`: the process of one host of the fleet.

#include <lacewingsail/Host.h>
#include <lacewingsail/Observe.h>
#include <lacewingsail/Wire.h>

#include <PlatformAdapter.h>

#include <malloc.h>
#include <popt.h>
#include <pthread.h>

#include <atomic>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <sstream>
#include <thread>

namespace lacewingsail {

namespace {

    constexpr int exitUsage = 2;
    constexpr int exitFailure = 1;
    constexpr std::chrono::milliseconds drainCheckInterval { 50 };
    // The event loop has the main thread; the others decode and hand on messages.
    constexpr std::size_t threadStackBytes = 512 * 1024;
    constexpr int memoryArenas = 1;

    // A sanitizer reports crashes itself, and leaks when the static objects are destroyed.
#ifdef __SANITIZE_ADDRESS__
    constexpr bool isSanitized = true;
#else
    constexpr bool isSanitized = false;
#endif

    struct Options {
        std::string settingsFile;
        /// Whether to run a gateway host, whose settings file LACEWINGSAIL_CONFIG names.
        bool gateway = false;
        bool checkOnly = false;
    };

    // Returns false if the options are not valid; the reason is printed to the standard error stream.
    bool parseOptions(int argumentCount, const char** arguments, Options& options)
    {
        char* settingsFile = nullptr;
        char* role = nullptr;
        int checkOnly = 0;
        const poptOption table[] = {
            { "settings", 's', POPT_ARG_STRING, &settingsFile, 0, "read the settings of this host from FILE", "FILE" },
            { "role", 'r', POPT_ARG_STRING, &role, 0, "entry (a host of a fleet over the log service, the default) or gateway (a host on the deployment platform; LACEWINGSAIL_CONFIG names its settings file)", "ROLE" },
            { "check", 'c', POPT_ARG_NONE, &checkOnly, 0, "check the settings and exit", nullptr },
            POPT_AUTOHELP POPT_TABLEEND
        };
        poptContext context = poptGetContext("lacewingd", argumentCount, arguments, table, 0);
        const int result = poptGetNextOpt(context);
        if (result < -1)
            std::cerr << "lacewingd: " << poptBadOption(context, 0) << ": " << poptStrerror(result) << '\n';
        const bool extraArgument = poptPeekArg(context) != nullptr;
        if (extraArgument)
            std::cerr << "lacewingd: unexpected argument " << poptPeekArg(context) << '\n';
        if (settingsFile)
            options.settingsFile = settingsFile;
        const std::string roleName = role ? role : "entry";
        // NOLINTBEGIN: popt allocates them with malloc
        free(settingsFile);
        free(role);
        // NOLINTEND
        options.gateway = roleName == "gateway";
        const bool knownRole = options.gateway || roleName == "entry";
        if (!knownRole)
            std::cerr << "lacewingd: unknown role " << roleName << '\n';
        options.checkOnly = checkOnly != 0;
        poptFreeContext(context);
        if (result != -1 || extraArgument || !knownRole)
            return false;
        if (options.gateway == !options.settingsFile.empty()) {
            std::cerr << (options.gateway ? "lacewingd: --settings cannot be used with the role gateway\n" : "lacewingd: --settings FILE is required\n");
            return false;
        }
        return true;
    }

    std::optional<HostSettings> readHostSettings(const std::string& file)
    {
        std::ifstream stream(file);
        if (!stream) {
            std::cerr << "lacewingd: cannot read " << file << '\n';
            return std::nullopt;
        }
        std::ostringstream content;
        content << stream.rdbuf();
        Problems problems;
        auto settings = parseSettings(content.str(), problems);
        if (!settings)
            std::cerr << "lacewingd: " << file << " has errors:\n"
                      << text(problems);
        return settings;
    }

    sigset_t stopSignals()
    {
        sigset_t signals;
        sigemptyset(&signals);
        sigaddset(&signals, SIGTERM);
        sigaddset(&signals, SIGINT);
        return signals;
    }

    sigset_t gatewaySignals()
    {
        sigset_t signals = stopSignals();
        sigaddset(&signals, SIGHUP);
        return signals;
    }

    // Before the constructors of static objects, which take milliseconds: a signal that comes before its handler is installed
    // would end the process.
    __attribute__((constructor(101))) void blockSignals()
    {
        const sigset_t signals = gatewaySignals();
        pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    }

    int serve(HostSettings settings)
    {
        // Blocked before any thread starts, so that sigwait receives them.
        const sigset_t signals = stopSignals();
        pthread_sigmask(SIG_BLOCK, &signals, nullptr);
        std::signal(SIGPIPE, SIG_IGN);
        std::error_code error;
        EntryHost host(std::move(settings), error);
        if (error) {
            std::cerr << "lacewingd: cannot listen: " << error.message() << '\n';
            return exitFailure;
        }
        int signal = 0;
        sigwait(&signals, &signal);
        host.drain();
        while (!host.drained())
            std::this_thread::sleep_for(drainCheckInterval);
        log(Event("host-stopped"));
        return 0;
    }

    // A platform may limit the address space of a process to its memory. By default each thread takes 8 MB of it for its stack,
    // and each of its memory arenas 64 MB.
    void limitAddressSpace()
    {
        pthread_attr_t attributes;
        pthread_attr_init(&attributes);
        const bool limited = pthread_attr_setstacksize(&attributes, threadStackBytes) == 0 && pthread_setattr_default_np(&attributes) == 0;
        pthread_attr_destroy(&attributes);
        if (!limited || mallopt(M_ARENA_MAX, memoryArenas) == 0)
            std::cerr << "lacewingd: the address space of threads keeps its default size\n";
    }

    int runGateway(bool checkOnly)
    {
        const auto settings = platform_adapter::readGatewaySettings();
        if (!settings)
            return exitUsage;
        if (checkOnly)
            return 0;
        std::signal(SIGPIPE, SIG_IGN);
        limitAddressSpace();
        if (const std::error_code error = platform_adapter::runGateway(*settings)) {
            std::cerr << "lacewingd: cannot listen: " << error.message() << '\n';
            return exitFailure;
        }
        return 0;
    }

    int run(int argumentCount, const char** arguments)
    {
        Options options;
        if (!parseOptions(argumentCount, arguments, options))
            return exitUsage;
        if (!isSanitized)
            reportCrashes();
        if (options.gateway) {
            const int code = runGateway(options.checkOnly);
            // Static objects are not destroyed, as threads of the libraries still use them.
            if (!isSanitized)
                std::_Exit(code);
            return code;
        }
        const sigset_t signals = gatewaySignals();
        pthread_sigmask(SIG_UNBLOCK, &signals, nullptr);
        auto settings = readHostSettings(options.settingsFile);
        if (!settings)
            return exitUsage;
        if (options.checkOnly)
            return 0;
        startLog("lacewingd");
        return serve(std::move(*settings));
    }

} // namespace

} // namespace lacewingsail

int main(int argumentCount, char** arguments) { return lacewingsail::run(argumentCount, const_cast<const char**>(arguments)); }
