//! Lists that are read page by page.

use cloverpier_router::{PageCursor, PagePosition, PageStep, SourceError};

fn after(name: &str) -> Option<PagePosition> {
    Some(PagePosition(name.to_owned()))
}

#[test]
fn a_list_is_whole_after_its_last_page_and_as_new_as_its_first() {
    let mut cursor = PageCursor::default();
    assert_eq!(cursor.position(), None);
    assert_eq!(cursor.on_page(7, after("b")), Ok(PageStep::Continue));
    assert_eq!(cursor.position(), after("b").as_ref());
    assert_eq!(cursor.on_page(9, after("d")), Ok(PageStep::Continue));
    assert_eq!(cursor.on_page(8, None), Ok(PageStep::Complete));
    assert_eq!(cursor.revision(), 7);
}

/// Guards against a store, or a proxy before it, that gives the same pages again without an end.
#[test]
fn a_list_that_goes_round_is_not_read_for_ever() {
    for round in [vec!["b"], vec!["b", "d"], vec!["d", "b", "a"]] {
        let mut cursor = PageCursor::default();
        let pages = round.iter().cycle().take(round.len() + 1);
        let steps: Vec<_> = pages.map(|name| cursor.on_page(7, after(name))).collect();
        let (last, former) = steps.split_last().unwrap();
        assert!(former.iter().all(|step| *step == Ok(PageStep::Continue)));
        let is_malformed = matches!(last, Err(SourceError::Malformed { .. }));
        assert!(is_malformed, "{last:?}");
    }
}

#[test]
fn a_page_that_is_older_than_the_first_one_shows_a_store_that_came_back_older() {
    let mut cursor = PageCursor::default();
    cursor.on_page(7, after("b")).unwrap();
    assert_eq!(cursor.on_page(6, None), Err(SourceError::HistoryLost));
}
