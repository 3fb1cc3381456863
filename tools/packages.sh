# The Debian packages needed to build, test and check the project; one list for all tools.
packages="g++ cmake ninja-build clang-format clang-tidy
libboost1.81-dev libboost-log1.81-dev libboost-thread1.81-dev libboost-system1.81-dev
libboost-filesystem1.81-dev libboost-atomic1.81-dev libboost-chrono1.81-dev
libboost-regex1.81-dev libssl-dev libjsoncpp-dev libjsonrpccpp-dev nlohmann-json3-dev libsimdjson-dev
libinih-dev libxxhash-dev libzstd-dev libtclap-dev libcppunit-dev libtrompeloeil-cpp-dev"

install_missing_packages() {
    # shellcheck disable=SC2086
    if ! dpkg -s $packages >/dev/null 2>&1; then
        apt-get update
        apt-get install -y --no-install-recommends $packages
    fi
}
