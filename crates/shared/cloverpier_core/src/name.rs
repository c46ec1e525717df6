//! Names as shared immutable strings, one newtype per kind of thing.
//!
//! A name of one kind cannot be passed for one of another. Cloning one is counting a
//! reference. On the wire each is plain text.

use serde::{Deserialize, Serialize};
use std::fmt;
use std::sync::Arc;

macro_rules! names {
    ($($(#[$doc:meta])* $name:ident),* $(,)?) => {
        $(
            $(#[$doc])*
            #[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
            #[serde(transparent)]
            pub struct $name(Arc<str>);

            impl $name {
                /// Makes the name from text.
                pub fn new(text: impl AsRef<str>) -> Self {
                    Self(Arc::from(text.as_ref()))
                }

                /// The name as text.
                pub fn as_str(&self) -> &str {
                    &self.0
                }
            }

            impl fmt::Display for $name {
                fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                    f.write_str(&self.0)
                }
            }

            impl fmt::Debug for $name {
                fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                    write!(f, "{:?}", &*self.0)
                }
            }

            impl From<&str> for $name {
                fn from(text: &str) -> Self {
                    Self::new(text)
                }
            }
        )*
    };
}

names! {
    /// A client account.
    AccountName,
    /// A low-rank adapter over a base model.
    AdapterName,
    /// A data centre.
    DataCentre,
    /// One run of one router process: its VM and its incarnation.
    ///
    /// A process that restarts has lost its memory, so it starts as a
    /// different member.
    MemberId,
    /// The weights that an engine has loaded.
    ModelName,
    /// One request of one client account: the account, a slash, the idempotency key.
    RequestKey,
    /// A model service or a plain service.
    ServiceName,
    /// The version of an upstream's software.
    SoftwareVersion,
    /// An upstream: a model engine or a plain service's server.
    UpstreamName,
    /// An entry VM.
    VmName,
}

impl RequestKey {
    /// Joins a client account and the idempotency key that it sent.
    pub fn of(account: &AccountName, idempotency_key: &str) -> Self {
        Self::new(format!("{account}/{idempotency_key}"))
    }

    /// The client account's name.
    pub fn account(&self) -> &str {
        let parts = self.as_str().split_once('/');
        // A key without a slash was made by `new` and belongs to nobody.
        parts.map_or("", |(account, _)| account)
    }
}
