//! Content keys: which requests are repeats of each other.

use cloverpier_crashes::{ContentKey, RequestContent};

const CONTENT: RequestContent<'_> = RequestContent {
    account: "lab",
    host: "api.example",
    method: "POST",
    target: "/digests/17?full=1",
    body: b"calibration log",
};

#[test]
fn each_field_of_the_content_changes_the_key() {
    let others = [
        RequestContent {
            account: "archive",
            ..CONTENT
        },
        RequestContent {
            host: "other.example",
            ..CONTENT
        },
        RequestContent {
            method: "PUT",
            ..CONTENT
        },
        RequestContent {
            target: "/digests/17?full=2",
            ..CONTENT
        },
        RequestContent {
            body: b"calibration log.",
            ..CONTENT
        },
        // The same bytes, split differently between account and host.
        RequestContent {
            account: "labapi",
            host: ".example",
            ..CONTENT
        },
    ];
    let key = ContentKey::of(&CONTENT);
    assert_eq!(key, ContentKey::of(&CONTENT.clone()));
    for other in others {
        assert_ne!(key, ContentKey::of(&other), "{other:?}");
    }
}

#[test]
fn key_is_parsed_from_its_text_and_other_text_is_rejected() {
    let key = ContentKey::of(&CONTENT);
    assert_eq!(ContentKey::parse(&key.to_string()), Some(key));
    for text in [
        "",
        "0",
        "+f00000000000000f000000000000000",
        &"g".repeat(32),
        &"é".repeat(16),
    ] {
        assert_eq!(ContentKey::parse(text), None, "{text}");
    }
}
