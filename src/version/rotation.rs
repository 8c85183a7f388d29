//! Parts of a long list, one after the other.

/// Where the next part begins.
#[derive(Debug, Default)]
pub struct Rotation {
    next_index: usize,
}

impl Rotation {
    /// Begins at the start of the list.
    pub fn new() -> Rotation {
        Rotation::default()
    }

    /// The next `limit` items, or all where there are no more.
    pub fn next_batch<T: Clone>(&mut self, items: &[T], limit: usize) -> Vec<T> {
        let count = limit.min(items.len());
        let first = self.next_index.checked_rem(items.len()).unwrap_or(0);
        self.next_index = first + count;
        items.iter().cycle().skip(first).take(count).cloned().collect()
    }
}
