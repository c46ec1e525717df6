//! Upstreams of a site that requests crash: how they end, and how they come back.
//!
//! Relies on the stand-ins to say that a request has crashed them. The site owns the list of those that are down.

use super::Site;
use cloverpier_router_standin::link::Harm;
use cloverpier_router_standin::now;
use std::io;
use std::time::{Duration, Instant};

/// How an upstream that a request has crashed comes back.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Return {
    /// Under the name that it had, with a later start.
    SameName(Duration),
    /// Under a new name.
    NewName(Duration),
}

impl Return {
    fn after(self) -> Duration {
        match self {
            Self::SameName(after) | Self::NewName(after) => after,
        }
    }
}

/// What becomes of new connections to an upstream that has crashed, before its port refuses them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CrashedPort {
    /// They are refused at once.
    Refuses,
    /// They come up and are reset for so long.
    Resets(Duration),
    /// Nothing answers for so long.
    IsSilent(Duration),
}

impl CrashedPort {
    /// How the link harms connections meanwhile, and for how long.
    fn harm(self) -> (Harm, Duration) {
        match self {
            Self::Refuses => (Harm::ResetNew, Duration::ZERO),
            Self::Resets(time) => (Harm::ResetNew, time),
            Self::IsSilent(time) => (Harm::Silence, time),
        }
    }
}

/// An upstream that a request has crashed.
#[derive(Clone, Copy, Debug)]
pub(super) struct Crash {
    upstream: usize,
    /// When its port refuses; until then it does as [`CrashedPort`] says.
    refuses_at: Instant,
    returns_at: Instant,
}

impl Site {
    /// Begins the end of an upstream: its connections close, and new ones are harmed.
    fn begin_end(&mut self, index: usize) {
        let (harm, _) = self.spec.crashed_port.harm();
        let upstream = &mut self.upstreams[index];
        upstream.link.set_harm(harm);
        upstream.stand_in.stop();
        upstream.link.cut_connections();
    }

    /// Ends the upstreams that a request has crashed, and starts those again whose time has come.
    /// To be called every few milliseconds while such requests are sent.
    ///
    /// # Errors
    ///
    /// A port is taken.
    pub async fn play_crashes(&mut self, back: Return) -> io::Result<()> {
        let now = now();
        let (_, closing) = self.spec.crashed_port.harm();
        let is_down: Vec<usize> = self.crashed.iter().map(|crash| crash.upstream).collect();
        for index in 0..self.upstreams.len() {
            if !is_down.contains(&index) && self.upstreams[index].stand_in.has_crashed() {
                self.begin_end(index);
                self.crashed.push(Crash {
                    upstream: index,
                    refuses_at: now + closing,
                    returns_at: now + back.after(),
                });
            }
        }
        for crash in self.crashed.clone() {
            if crash.refuses_at <= now {
                self.crash_upstream(crash.upstream);
            }
        }
        let due = |crash: &Crash| crash.returns_at <= now;
        let returning: Vec<Crash> = self.crashed.extract_if(.., |c| due(c)).collect();
        for crash in returning {
            match back {
                Return::SameName(_) => self.start_upstream_again(crash.upstream).await?,
                Return::NewName(_) => self.restart_upstream(crash.upstream).await?,
            }
        }
        Ok(())
    }

    /// Whether a request has crashed an upstream, and it is not back yet.
    pub(super) fn is_down(&self, index: usize) -> bool {
        self.crashed.iter().any(|crash| crash.upstream == index)
    }

    /// Whether an upstream that a request has crashed is not back yet.
    pub fn is_any_crashed(&self) -> bool {
        !self.crashed.is_empty() || self.upstreams.iter().any(|u| u.stand_in.has_crashed())
    }
}
