#include "http_text.h"

/// Prints the steady clock in milliseconds; with a file and words, writes them to that record.
int main(int argc, char** argv)
{
    if (argc > 2) {
        std::string text;
        for (int i = 2; i < argc; ++i) {
            text += (text.empty() ? "" : " ") + std::string(argv[i]);
        }
        stand_in::record_file(argv[1]).line("run.sh", text);
    }
    std::printf("%lld\n", static_cast<long long>(stand_in::now_ms()));
}
