//! A caller's and an operator's client of the routers.
//!
//! [`Caller`] asks for addresses, streams an answer, and goes on at another
//! router when a connection breaks, checking count and digest at the end.
//! [`Operator`] plans, confirms and asks for the state.
//!
//! ```no_run
//! # async fn example() {
//! use cloverpier_client::prelude::*;
//!
//! let caller = Caller::new("127.0.0.1:7101".parse().unwrap(), "ops.secret");
//! let ask = Generate::new("drafts", "Describe the face.", 64);
//! let answer = caller.generate(&ask, |_| {}).await.unwrap();
//! println!("{}", answer.text());
//! # }
//! ```

mod caller;
mod events;
mod operator;
mod progress;

/// What users of the crate need daily.
pub mod prelude {
    pub use crate::caller::{
        Address, Addresses, Answer, CallError, Caller, Generate, Got, PlainReply,
    };
    pub use crate::operator::{Confirmed, Operator, OperatorError, Planned, Waiting};
}

pub use prelude::*;
