//! A search that may be under way beside other waits. Owns nothing.

use futures_util::future::BoxFuture;
use std::future::pending;

/// A search, if one is under way.
pub type Seeking<'a, T> = Option<BoxFuture<'a, T>>;

/// Waits for the end of a search, for ever without one. Nothing is lost if the wait is dropped.
pub async fn sought<T>(seeking: &mut Seeking<'_, T>) -> T {
    match seeking {
        Some(seeking) => seeking.await,
        None => pending().await,
    }
}
