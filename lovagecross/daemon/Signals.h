#pragma once

// Waits for the signals that stop or reload the daemon: SIGTERM, SIGINT and SIGHUP. The constructor blocks them in the
// calling thread and in the threads that it starts afterwards, so create the object before any other thread. It also
// ignores SIGPIPE.
//
// Thread safety: one thread.

#include <csignal>

namespace lovagecross {

class Signals {
public:
    Signals()
    {
        sigemptyset(&this->set);
        sigaddset(&this->set, SIGTERM);
        sigaddset(&this->set, SIGINT);
        sigaddset(&this->set, SIGHUP);
        pthread_sigmask(SIG_BLOCK, &this->set, nullptr);
        std::signal(SIGPIPE, SIG_IGN);
    }

    int wait()
    {
        int signal = 0;
        sigwait(&this->set, &signal);
        return signal;
    }

private:
    sigset_t set;
};

} // namespace lovagecross
