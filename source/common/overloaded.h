#pragma once

namespace almondquay {

/// Joins lambdas to one visitor for std::visit.
template <class... Handlers> struct overloaded : Handlers... {
    using Handlers::operator()...;
};
template <class... Handlers> overloaded(Handlers...) -> overloaded<Handlers...>;

} // namespace almondquay
