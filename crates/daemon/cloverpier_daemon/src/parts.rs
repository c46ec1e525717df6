//! The parts of the daemon, in the order in which they start.
//!
//! Removing a part is removing a line. The first ones listen and join, the last ones take
//! callers.

use crate::app::App;
use crate::{admission, answers, claims, config, crashes, loads, members, resume, stop, web};
use std::sync::Arc;

/// A part that starts its own tasks.
#[derive(Clone, Copy, Debug)]
pub struct Part {
    /// The part's name, for logs.
    pub name: &'static str,
    /// Starts it.
    pub start: fn(&Arc<App>),
}

/// All parts.
pub const PARTS: &[Part] = &[
    Part {
        name: "peers' port",
        start: web::peers::start,
    },
    Part {
        name: "resumes",
        start: resume::start,
    },
    Part {
        name: "membership",
        start: members::start,
    },
    Part {
        name: "configuration",
        start: config::start,
    },
    Part {
        name: "load reports",
        start: loads::start,
    },
    Part {
        name: "places",
        start: admission::start,
    },
    Part {
        name: "records",
        start: claims::start,
    },
    Part {
        name: "crashes",
        start: crashes::start,
    },
    Part {
        name: "answers",
        start: answers::start,
    },
    Part {
        name: "callers' port",
        start: web::callers::start,
    },
    Part {
        name: "signals",
        start: stop::start,
    },
];
