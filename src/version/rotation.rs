//! Parts of a long list, one after the other.

/// Where the next part begins.
#[derive(Debug, Default)]
pub struct Rotation {
    next: usize,
}

impl Rotation {
    /// Begins at the start of the list.
    pub fn new() -> Rotation {
        Rotation::default()
    }

    /// The next `most` items, or all where there are no more.
    pub fn take<T: Clone>(&mut self, items: &[T], most: usize) -> Vec<T> {
        let count = most.min(items.len());
        let first = self.next.checked_rem(items.len()).unwrap_or(0);
        self.next = first + count;
        items.iter().cycle().skip(first).take(count).cloned().collect()
    }
}
