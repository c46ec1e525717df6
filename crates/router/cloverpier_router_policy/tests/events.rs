//! Events are returned whole and in order, whatever the sizes of the pieces in which their bytes arrive.

use cloverpier_router_policy::prelude::*;
use quickcheck::quickcheck;

fn event(id: u64, data: &str) -> Vec<u8> {
    format!("id: {id}\ndata: {data}\n\n").into_bytes()
}

fn split(chunks: &[&[u8]]) -> (Vec<StreamEvent>, bool) {
    let mut splitter = EventSplitter::default();
    let mut events = Vec::new();
    for chunk in chunks {
        splitter.push(chunk).unwrap();
        while let Some(event) = splitter.next_event() {
            events.push(event);
        }
    }
    (events, splitter.has_partial())
}

quickcheck! {
    fn events_do_not_depend_on_the_chunks_of_the_input(count: u8, size: usize) -> bool {
        let events: Vec<Vec<u8>> = (0..u64::from(count % 20)).map(|id| event(id, "text")).collect();
        let bytes = events.concat();
        let chunks: Vec<&[u8]> = bytes.chunks(size % 40 + 1).collect();
        let (found, has_partial) = split(&chunks);
        let same = found.iter().map(|e| &e.bytes).eq(events.iter());
        same && !has_partial
    }

    fn a_partial_event_is_never_returned(cut: usize) -> bool {
        let whole = event(1, "first");
        let second = event(2, "second");
        let cut = cut % second.len();
        let (found, has_partial) = split(&[&whole, &second[..cut]]);
        found.len() == 1 && found[0].bytes == whole && has_partial == (cut > 0)
    }
}

#[test]
fn lines_may_end_with_carriage_returns() {
    let bytes = b"id: 7\r\ndata: x\r\n\r\nid: 8\ndata: y\n\n";
    let (found, _) = split(&[bytes]);
    let ids: Vec<Option<u64>> = found.iter().map(|e| e.id).collect();
    assert_eq!(ids, [Some(7), Some(8)]);
}

#[test]
fn an_event_without_an_id_has_none() {
    let (found, _) = split(&[b"data: id: 9\n\n"]);
    assert_eq!(found[0].id, None);
}

#[test]
fn a_stream_without_event_boundaries_is_an_error() {
    let mut splitter = EventSplitter::default();
    let line = [b'x'; 4_096];
    let ended = (0..1_000).any(|_| splitter.push(&line).is_err());
    assert!(ended);
}
