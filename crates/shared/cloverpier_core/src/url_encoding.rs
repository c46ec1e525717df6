//! Percent-encoding of text in URLs.
//!
//! Names and keys come from other parties and can contain any character. Unencoded reserved characters would change the meaning
//! of a URL or make it invalid. Owns no state.

use percent_encoding::{AsciiSet, NON_ALPHANUMERIC, PercentEncode, utf8_percent_encode};

/// All characters except the unreserved ones (RFC 3986, 2.3).
const ENCODED: &AsciiSet = &NON_ALPHANUMERIC
    .remove(b'-')
    .remove(b'.')
    .remove(b'_')
    .remove(b'~');

/// Encodes text for use as a path segment or a query value.
///
/// ```
/// let path = format!("/plans/{}", cloverpier_core::url_encoded("vm#1"));
/// assert_eq!(path, "/plans/vm%231");
/// ```
pub fn url_encoded(text: &str) -> PercentEncode<'_> {
    utf8_percent_encode(text, ENCODED)
}
