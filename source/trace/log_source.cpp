#include "trace/log_source.h"

#include <algorithm>
#include <cerrno>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <utility>

#include <unistd.h>

namespace almondquay {

namespace {

namespace fs = std::filesystem;

constexpr std::uintmax_t progress_bytes = 256ULL * 1024 * 1024;
constexpr std::size_t buffer_bytes = 1024UL * 1024;

error unreadable(const std::string& path, const std::string& why)
{
    return {result_code::text_unreadable, path + ": " + why};
}

result<std::vector<std::string>> files_in(const std::string& path)
{
    std::error_code problem;
    std::vector<std::string> files;
    if (!fs::is_directory(path, problem)) {
        files.push_back(path);
        return files;
    }
    for (fs::recursive_directory_iterator it(path, problem), end; !problem && it != end;
         it.increment(problem)) {
        if (it->is_regular_file(problem)) {
            files.push_back(it->path().string());
        }
    }
    if (problem) {
        return unreadable(path, problem.message());
    }
    std::ranges::sort(files);
    return files;
}

result<std::string> spool_standard_input()
{
    auto name = (fs::temp_directory_path() / "almondquay-log-XXXXXX").string();
    const int file = ::mkstemp(name.data());
    if (file < 0) {
        return unreadable(name, std::strerror(errno));
    }
    ::close(file);
    std::ofstream out(name, std::ios::binary);
    if (std::cin.peek() != std::istream::traits_type::eof()) {
        out << std::cin.rdbuf();
    }
    if (!out.flush()) {
        fs::remove(name);
        return unreadable(name, "cannot write temporary file");
    }
    return name;
}

} // namespace

result<log_source> log_source::open(const std::vector<std::string>& paths)
{
    log_source source;
    if (paths.empty()) {
        auto name = spool_standard_input();
        if (!succeeded(name)) {
            return error_of(name);
        }
        source.spooled_ = value_of(name);
        source.files_.push_back(source.spooled_);
        return source;
    }
    for (const auto& path : paths) {
        const auto files = files_in(path);
        if (!succeeded(files)) {
            return error_of(files);
        }
        source.files_.insert(source.files_.end(), value_of(files).begin(), value_of(files).end());
    }
    return source;
}

log_source::~log_source()
{
    if (!spooled_.empty()) {
        std::error_code ignored; // A file that cannot be removed stays in the temporary directory.
        fs::remove(spooled_, ignored);
    }
}

log_source::log_source(log_source&& other) noexcept
    : progress(std::move(other.progress)), files_(std::move(other.files_)),
      spooled_(std::exchange(other.spooled_, {}))
{
}

log_source& log_source::operator=(log_source&& other) noexcept
{
    std::swap(progress, other.progress);
    std::swap(files_, other.files_);
    std::swap(spooled_, other.spooled_);
    return *this;
}

result<done> log_source::for_each_line(const std::function<void(std::string_view)>& on_line) const
{
    std::vector<char> buffer(buffer_bytes);
    std::uintmax_t read = 0;
    std::uintmax_t reported = 0;
    for (const auto& name : files_) {
        std::ifstream in;
        in.rdbuf()->pubsetbuf(buffer.data(), static_cast<std::streamsize>(buffer.size()));
        in.open(name, std::ios::binary);
        if (!in) {
            return unreadable(name, std::strerror(errno));
        }
        for (std::string line; std::getline(in, line);) {
            read += line.size() + 1;
            on_line(line);
            if (progress && read - reported >= progress_bytes) {
                reported = read;
                progress(read);
            }
        }
    }
    return done{};
}

} // namespace almondquay
