//! Text as a part of a URL.
//!
//! Names and keys come from other parties, and any character may stand in them. One that means something in a URL makes a path
//! of another object, or none at all. Owns no state.

use percent_encoding::{AsciiSet, NON_ALPHANUMERIC, PercentEncode, utf8_percent_encode};

/// All but the unreserved characters (RFC 3986, 2.3).
const ENCODED: &AsciiSet = &NON_ALPHANUMERIC
    .remove(b'-')
    .remove(b'.')
    .remove(b'_')
    .remove(b'~');

/// Encodes text that stands in one segment of a path or in one value of a query.
///
/// ```
/// let path = format!("/plans/{}", cloverpier_core::url_encoded("vm#1"));
/// assert_eq!(path, "/plans/vm%231");
/// ```
pub fn url_encoded(text: &str) -> PercentEncode<'_> {
    utf8_percent_encode(text, ENCODED)
}
