#ifndef BORAGEHILL_SOAK_PROXIED_LINK_HPP
#define BORAGEHILL_SOAK_PROXIED_LINK_HPP

#include <array>
#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>
#include <memory>

#include <boragehill/endpoint.hpp>

#include "soak/link_fault.hpp"
#include "soak/link_pacer.hpp"

namespace boragehill::soak {

/// One connection through a proxy, both ways. All of it runs on the proxy's
/// thread.
class proxied_link : public std::enable_shared_from_this<proxied_link> {
 public:
  proxied_link(asio::ip::tcp::socket caller, std::shared_ptr<link_pacer> pacer);

  void start(const endpoint& target, link_fault now);
  void set(link_fault now);
  /// Ends both sides with a reset.
  void reset();

 private:
  struct direction {
    asio::ip::tcp::socket* from = nullptr;
    asio::ip::tcp::socket* to = nullptr;
    link_fault cut = link_fault::none;
    std::array<char, 16384> buffer{};
    std::size_t held = 0;
    bool reading = false;
    asio::steady_timer timer;

    explicit direction(const asio::any_io_executor& executor)
        : timer(executor) {}
  };

  bool is_cut(const direction& way) const;
  void pump(direction& way);
  void pass(direction& way);
  void write(direction& way);
  void end();

  asio::ip::tcp::socket caller;
  asio::ip::tcp::socket server;
  direction requests;
  direction answers;
  std::shared_ptr<link_pacer> pacer;
  link_fault fault = link_fault::none;
  bool over = false;
};

}  // namespace boragehill::soak

#endif  // BORAGEHILL_SOAK_PROXIED_LINK_HPP
