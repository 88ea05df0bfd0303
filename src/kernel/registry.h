#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace bluebellpass {

/// Factories for the implementations of an interface, by name. Each implementation registers itself
/// with a static Registration in its source file.
/// @tparam Interface base class of the implementations
/// @tparam Args parameters of the factories
template <class Interface, class... Args>
class Registry {
 public:
  using Factory = std::function<std::unique_ptr<Interface>(Args...)>;

  /// @return the process-wide registry of the interface
  static Registry& Global() {
    static Registry registry;
    return registry;
  }

  void Register(const std::string& name, Factory factory) {
    m_factories[name] = std::move(factory);
  }

  /// @return a new object, or null if the name is not registered
  std::unique_ptr<Interface> Create(const std::string& name, Args... args) const {
    const auto found = m_factories.find(name);
    return found == m_factories.end() ? nullptr : found->second(std::forward<Args>(args)...);
  }

  /// @return the registered names in alphabetical order
  std::vector<std::string> Names() const {
    std::vector<std::string> names;
    for (const auto& [name, factory] : m_factories) names.push_back(name);
    return names;
  }

 private:
  std::map<std::string, Factory> m_factories;
};

/// Registers an implementation during static initialization.
template <class Interface, class... Args>
struct Registration {
  Registration(const std::string& name, typename Registry<Interface, Args...>::Factory factory) {
    Registry<Interface, Args...>::Global().Register(name, std::move(factory));
  }
};

}  // namespace bluebellpass
