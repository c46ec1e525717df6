//! HTTP clients of the routers, for callers and for operators.
//!
//! [`Caller`] fetches the routers' addresses and streams generated responses. If a connection breaks,
//! it continues the response at another router, and it verifies the number and the digest of the
//! tokens at the end.
//! [`Operator`] makes and confirms plans, drains upstreams and reads a router's state.
//!
//! ```no_run
//! # async fn example() {
//! use cloverpier_client::prelude::*;
//!
//! let caller = Caller::new("127.0.0.1:7101".parse().unwrap(), "ops.secret");
//! let request = GenerateRequest::new("drafts", "Describe the face.", 64);
//! let response = caller.generate(&request, |_| {}).await.unwrap();
//! println!("{}", response.text());
//! # }
//! ```

mod caller;
mod events;
mod operator;
mod progress;

/// All public types, for a glob import.
pub mod prelude {
    pub use crate::caller::{
        CallError, Caller, GenerateRequest, GeneratedResponse, PlainResponse, ReceivedToken,
        RouterAddress, RouterAddresses,
    };
    pub use crate::operator::{ConfirmReport, Operator, OperatorError, PlanReport, RouterVersion};
}

pub use prelude::*;
