#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace bluebellpass {

/// Plug-ins of one interface by name. A plug-in registers itself with a static Registration in its
/// own source file.
/// @tparam Interface base class of the plug-ins
/// @tparam Args what their factories take
template <class Interface, class... Args>
class Registry {
 public:
  using Factory = std::function<std::unique_ptr<Interface>(Args...)>;

  /// @return the registry of this interface; there is one in the process
  static Registry& Global() {
    static Registry registry;
    return registry;
  }

  void Add(const std::string& name, Factory factory) { m_factories[name] = std::move(factory); }

  /// @return a new plug-in, or null when none has this name
  std::unique_ptr<Interface> Create(const std::string& name, Args... args) const {
    const auto found = m_factories.find(name);
    return found == m_factories.end() ? nullptr : found->second(std::forward<Args>(args)...);
  }

  /// @return the names in alphabetical order
  std::vector<std::string> Names() const {
    std::vector<std::string> names;
    for (const auto& [name, factory] : m_factories) names.push_back(name);
    return names;
  }

 private:
  std::map<std::string, Factory> m_factories;
};

/// Registers a plug-in during static initialization.
template <class Interface, class... Args>
struct Registration {
  Registration(const std::string& name, typename Registry<Interface, Args...>::Factory factory) {
    Registry<Interface, Args...>::Global().Add(name, std::move(factory));
  }
};

}  // namespace bluebellpass
