//! Names as shared immutable strings, with one newtype per kind of item.
//!
//! The types prevent that a name of one kind is passed as a name of another kind. Cloning a name only
//! increments a reference count. Names are serialized as plain strings.

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
                /// Copies the text, which is not validated.
                pub fn new(text: impl AsRef<str>) -> Self {
                    Self(Arc::from(text.as_ref()))
                }

                /// Borrows the text of the name.
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
    /// The name of a client account, to which requests are attributed.
    AccountName,
    /// The name of a low-rank adapter for a base model.
    AdapterName,
    /// The name of a data centre, in which VMs and upstreams are located.
    DataCentre,
    /// Identifies one `cloverpierd` process: its VM and the process's incarnation.
    ///
    /// A restarted process has lost its in-memory state, so it joins as a different member.
    MemberId,
    /// The name of the model whose weights an engine has loaded.
    ModelName,
    /// Identifies a request of a client account: the account, a slash, and the idempotency key.
    RequestKey,
    /// The name of a service: a model service, or a plain HTTP service.
    ServiceName,
    /// The version of the software that an upstream runs.
    SoftwareVersion,
    /// The name of an upstream: an engine of a model service, or a server of a plain service.
    UpstreamName,
    /// The name of a VM that accepts callers' requests.
    VmName,
}

impl RequestKey {
    /// Joins the name of a client account and the idempotency key that its caller sent.
    pub fn of(account: &AccountName, idempotency_key: &str) -> Self {
        Self::new(format!("{account}/{idempotency_key}"))
    }

    /// The name of the client account; empty for a key without a slash.
    pub fn account(&self) -> &str {
        let parts = self.as_str().split_once('/');
        // Only `new` can create a key without a slash. Such a key belongs to no client account.
        parts.map_or("", |(account, _)| account)
    }
}
