//! The objects of the store, their changes, and what a call asks for.
//!
//! Contents are JSON texts, not values: a test may store one that cannot be read.

use std::collections::BTreeMap;
use std::time::Duration;

/// The text of nothing.
pub const NOTHING: &str = "null";

/// An object as it lies in the store.
#[derive(Clone, Debug)]
pub struct StoredObject {
    /// Its name.
    pub name: String,
    /// The revision of its last change.
    pub revision: u64,
    /// The revision at which it was made.
    pub made: u64,
    /// Its content, as JSON.
    pub spec: String,
    /// What the system says of it, as JSON.
    pub status: String,
}

/// A change of an object.
#[derive(Clone, Debug)]
pub struct StoredEvent {
    /// The object as it is, or was.
    pub object: StoredObject,
    /// Whether it is gone.
    pub gone: bool,
}

/// A call, as the platform's shapes read it.
#[derive(Clone, Debug)]
pub enum StoreCall {
    /// The objects of a kind, or a page of them.
    List {
        /// The kind.
        kind: String,
        /// The name after which the page begins; `None` for the first one.
        after: Option<String>,
        /// Whether the answer may be old.
        is_stale: bool,
    },
    /// The changes of a kind after a revision.
    Watch {
        /// The kind.
        kind: String,
        /// The revision.
        after: u64,
        /// How long they are awaited.
        wait: Duration,
    },
    /// One object.
    Get {
        /// The kind.
        kind: String,
        /// The object's name.
        name: String,
    },
    /// A new object, or new content of one.
    Write {
        /// The kind.
        kind: String,
        /// The object's name.
        name: String,
        /// Whether it must not be there yet, or which revision it must have.
        condition: WriteCondition,
        /// Its content, as JSON.
        spec: String,
    },
    /// An object goes.
    Remove {
        /// The kind.
        kind: String,
        /// The object's name.
        name: String,
    },
    /// A new status of an object that has a revision.
    SetStatus {
        /// The kind.
        kind: String,
        /// The object's name.
        name: String,
        /// The revision that it must have; any where the call names none.
        revision: Option<u64>,
        /// The status, as JSON.
        status: String,
    },
}

/// What a write requires.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WriteCondition {
    /// The object is not there.
    Absent,
    /// It is there, whatever its revision.
    Present,
    /// It has this revision.
    Revision(u64),
}

/// The result of a conditional write.
#[derive(Clone, Debug)]
pub(super) enum Written {
    /// The object as it is now.
    Done(StoredObject),
    /// The object has another revision: this is how it is.
    Conflict(StoredObject),
    /// There is no such object.
    Missing,
}

#[derive(Clone, Debug, Default)]
struct Kind {
    objects: BTreeMap<String, StoredObject>,
    log: Vec<StoredEvent>,
    /// The revision from which on the log is complete.
    log_since: u64,
}

/// All objects, by kind.
#[derive(Clone, Debug)]
pub(super) struct Objects {
    /// Of the last change.
    pub revision: u64,
    kinds: BTreeMap<String, Kind>,
}

impl Default for Objects {
    fn default() -> Self {
        Self {
            revision: 1,
            kinds: BTreeMap::new(),
        }
    }
}

impl Objects {
    /// The objects of a kind.
    pub fn list(&self, kind: &str) -> Vec<StoredObject> {
        let kind = self.kinds.get(kind);
        kind.map_or_else(Vec::new, |k| k.objects.values().cloned().collect())
    }

    /// The objects of a kind after a name, `limit` at most, and whether others follow.
    pub fn page(&self, kind: &str, after: Option<&str>, limit: usize) -> (Vec<StoredObject>, bool) {
        let objects = self.list(kind).into_iter();
        let mut rest = objects.filter(|o| after.is_none_or(|after| o.name.as_str() > after));
        let page = rest.by_ref().take(limit).collect();
        (page, rest.next().is_some())
    }

    /// An object.
    pub fn get(&self, kind: &str, name: &str) -> Option<&StoredObject> {
        self.kinds.get(kind)?.objects.get(name)
    }

    /// The changes of a kind after a revision; `Err` where they are forgotten.
    pub fn changes(&self, kind: &str, after: u64) -> Result<Vec<StoredEvent>, Forgotten> {
        let Some(kind) = self.kinds.get(kind) else {
            return Ok(Vec::new());
        };
        if after < kind.log_since {
            return Err(Forgotten);
        }
        let newer = kind.log.iter().filter(|e| e.object.revision > after);
        Ok(newer.cloned().collect())
    }

    /// Puts an object's content in place.
    pub fn put(&mut self, kind: &str, name: &str, spec: String) {
        self.revision += 1;
        let former = self.get(kind, name).cloned();
        let made = former.as_ref().map_or(self.revision, |o| o.made);
        let status = former.map_or_else(|| NOTHING.to_owned(), |o| o.status);
        self.store(
            kind,
            StoredObject {
                name: name.to_owned(),
                revision: self.revision,
                made,
                spec,
                status,
            },
        );
    }

    /// Writes an object's content, if it is as the write requires.
    pub fn write(
        &mut self,
        kind: &str,
        name: &str,
        condition: WriteCondition,
        spec: String,
    ) -> Written {
        let present = self.get(kind, name).cloned();
        match (condition, present) {
            (WriteCondition::Absent, Some(object)) => return Written::Conflict(object),
            (WriteCondition::Revision(_) | WriteCondition::Present, None) => {
                return Written::Missing;
            }
            (WriteCondition::Revision(revision), Some(object)) if object.revision != revision => {
                return Written::Conflict(object);
            }
            (_, Some(object)) if object.spec == spec => return Written::Done(object),
            _ => {}
        }
        self.put(kind, name, spec);
        self.get(kind, name)
            .map_or(Written::Missing, |object| Written::Done(object.clone()))
    }

    /// Takes an object away.
    pub fn remove(&mut self, kind: &str, name: &str) {
        self.revision += 1;
        let revision = self.revision;
        let kind = self.kinds.entry(kind.to_owned()).or_default();
        let Some(object) = kind.objects.remove(name) else {
            return;
        };
        let object = StoredObject { revision, ..object };
        kind.log.push(StoredEvent { object, gone: true });
    }

    /// Sets an object's status if it has the revision.
    pub fn set_status(
        &mut self,
        kind: &str,
        name: &str,
        revision: Option<u64>,
        status: String,
    ) -> Written {
        let Some(object) = self.get(kind, name).cloned() else {
            return Written::Missing;
        };
        if revision.is_some_and(|revision| revision != object.revision) {
            return Written::Conflict(object);
        }
        if object.status == status {
            return Written::Done(object);
        }
        self.revision += 1;
        let object = StoredObject {
            status,
            revision: self.revision,
            ..object
        };
        self.store(kind, object.clone());
        Written::Done(object)
    }

    /// Forgets all changes.
    pub fn forget_changes(&mut self) {
        for kind in self.kinds.values_mut() {
            kind.log.clear();
            kind.log_since = self.revision;
        }
    }

    /// Forgets the last change of a kind alone: watches are told of those before and after it.
    pub fn forget_last_change(&mut self, kind: &str) {
        if let Some(kind) = self.kinds.get_mut(kind) {
            kind.log.pop();
        }
    }

    fn store(&mut self, kind: &str, object: StoredObject) {
        let kind = self.kinds.entry(kind.to_owned()).or_default();
        let objects = &mut kind.objects;
        objects.insert(object.name.clone(), object.clone());
        kind.log.push(StoredEvent {
            object,
            gone: false,
        });
    }
}

/// The changes that were asked for are forgotten.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Forgotten;
