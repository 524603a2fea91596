//! Accepts the connections of callers.

use mio::Interest;
use mio::net::TcpStream;

use super::{Server, caller_token};
use crate::h1::budget::Charge;
use crate::h1::caller::Caller;
use crate::h1::socket::Socket;
use crate::h1::{CallerId, HttpEffect, HttpInput, Purpose};
use crate::model::Timestamp;
use crate::role::Role;

impl<R: Role<Local = HttpInput, Effect = HttpEffect>> Server<R> {
    /// Accepts the waiting connections of a listener, but no more than `most`.
    pub(super) fn accept(&mut self, now: Timestamp, index: usize, most: usize) {
        for _ in 0..most {
            let Some((_, purpose)) = self.listeners.get(index) else { return };
            let purpose = *purpose;
            if !self.budget.has_place(purpose.into()) && !self.make_place(now, purpose) {
                self.unaccepted.insert(index);
                return;
            }
            let Some((listener, _)) = self.listeners.get(index) else { return };
            match listener.accept() {
                Ok((stream, _)) => self.add_caller(now, stream, purpose),
                Err(e) if e.kind() == std::io::ErrorKind::WouldBlock => {
                    self.unaccepted.remove(&index);
                    return;
                }
                Err(e) if e.kind() == std::io::ErrorKind::Interrupted => {}
                Err(error) if error.kind() == std::io::ErrorKind::ConnectionAborted => {
                    log::debug!("step=accept error=\"{error}\"");
                }
                Err(error) => {
                    // What waits is not reported again before another connection comes.
                    self.unaccepted.insert(index);
                    if !self.make_room(now, &error) {
                        return;
                    }
                }
            }
        }
    }

    pub(super) fn add_caller(&mut self, now: Timestamp, mut stream: TcpStream, purpose: Purpose) {
        let id = CallerId(self.next_caller);
        self.next_caller += 1;
        let token = caller_token(id);
        if let Err(error) = self.poll.registry().register(&mut stream, token, Interest::READABLE) {
            log::error!("step=register error=\"{error}\"");
            return;
        }
        let charge = Charge::new(&self.budget, purpose.into());
        let caller = Caller::new(now, Socket::new(stream), purpose, &self.limits.values, charge);
        self.callers.insert(id, caller);
    }
}
