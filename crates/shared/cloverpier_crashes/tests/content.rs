//! Which requests count as the same.

use cloverpier_crashes::{Content, ContentKey};

const CONTENT: Content<'_> = Content {
    account: "lab",
    host: "api.example",
    method: "POST",
    target: "/digests/17?full=1",
    body: b"calibration log",
};

#[test]
fn each_part_of_the_content_tells_requests_apart() {
    let others = [
        Content {
            account: "archive",
            ..CONTENT
        },
        Content {
            host: "other.example",
            ..CONTENT
        },
        Content {
            method: "PUT",
            ..CONTENT
        },
        Content {
            target: "/digests/17?full=2",
            ..CONTENT
        },
        Content {
            body: b"calibration log.",
            ..CONTENT
        },
        // The same text, cut elsewhere.
        Content {
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
fn a_key_is_read_back_from_its_text_and_other_text_is_none() {
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
