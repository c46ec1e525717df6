//! The stand-in's text shows what it was generated after.

use cloverpier_core::TokenDigest;
use cloverpier_daemon_standin::prelude::*;
use quickcheck::quickcheck;

fn text(salts: &[u16]) -> Vec<String> {
    let mut chain = TokenDigest::EMPTY;
    let mut tokens = Vec::new();
    for salt in salts {
        let token = speak(*salt, chain);
        chain = chain.push(&token);
        tokens.push(token);
    }
    tokens
}

quickcheck! {
    fn a_text_that_goes_on_at_other_engines_holds_together(salts: Vec<u16>) -> bool {
        check_speech(text(&salts).iter().map(String::as_str)).is_ok()
    }

    fn a_token_that_is_missing_or_doubled_shows(salts: Vec<u16>, at: usize) -> bool {
        let whole = text(&salts);
        if whole.len() < 2 {
            return true;
        }
        let at = at % (whole.len() - 1);
        let mut missing = whole.clone();
        missing.remove(at);
        let mut doubled = whole.clone();
        doubled.insert(at, whole[at].clone());
        let broken = |t: &[String]| check_speech(t.iter().map(String::as_str)).is_err();
        broken(&missing) && broken(&doubled)
    }
}
