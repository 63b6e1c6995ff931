#pragma once

// Takes the signals that stop or reload the daemon. Blocks them in this thread and in all that it starts later, so
// create it before any other thread.
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
