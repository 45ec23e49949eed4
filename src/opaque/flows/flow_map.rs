//! A bounded map keyed by flow, kept in sorted vectors.

use crate::opaque::packets::segment::FlowKey;

/// The mean number of flows in a bucket of a full map. At this size an insertion moves a few kilobytes.
const BUCKET_FLOWS: usize = 64;

/// A map from flows to values, in hash buckets that are sorted by key.
#[derive(Debug)]
pub(crate) struct FlowMap<T> {
    buckets: Vec<Vec<(FlowKey, T)>>,
    len: usize,
    capacity: usize,
}

impl<T> FlowMap<T> {
    /// Creates a map that holds at most `capacity` flows.
    pub(crate) fn new(capacity: usize) -> Self {
        Self {
            buckets: (0..capacity.div_ceil(BUCKET_FLOWS))
                .map(|_| Vec::new())
                .collect(),
            len: 0,
            capacity,
        }
    }

    fn bucket(&self, key: &FlowKey) -> usize {
        key.hash() as usize % self.buckets.len()
    }

    fn find(&self, key: &FlowKey) -> (usize, Result<usize, usize>) {
        let bucket = self.bucket(key);
        let index = self.buckets[bucket].binary_search_by_key(key, |(held, _)| *held);
        (bucket, index)
    }

    pub(crate) fn get(&self, key: &FlowKey) -> Option<&T> {
        let (bucket, index) = self.find(key);
        index.ok().map(|index| &self.buckets[bucket][index].1)
    }

    pub(crate) fn get_mut(&mut self, key: &FlowKey) -> Option<&mut T> {
        let (bucket, index) = self.find(key);
        index.ok().map(|index| &mut self.buckets[bucket][index].1)
    }

    /// Inserts or replaces a value. Returns false if the map is full.
    pub(crate) fn insert(&mut self, key: FlowKey, value: T) -> bool {
        let (bucket, index) = self.find(&key);
        match index {
            Ok(index) => self.buckets[bucket][index].1 = value,
            Err(_) if self.len >= self.capacity => return false,
            Err(index) => {
                self.buckets[bucket].insert(index, (key, value));
                self.len += 1;
            }
        }
        true
    }

    pub(crate) fn remove(&mut self, key: &FlowKey) -> Option<T> {
        let (bucket, index) = self.find(key);
        let index = index.ok()?;
        self.len -= 1;
        Some(self.buckets[bucket].remove(index).1)
    }

    /// Removes the values for which `keep` returns false.
    pub(crate) fn retain(&mut self, mut keep: impl FnMut(&FlowKey, &mut T) -> bool) {
        for bucket in &mut self.buckets {
            bucket.retain_mut(|(key, value)| keep(key, value));
        }
        self.len = self.buckets.iter().map(Vec::len).sum();
    }

    pub(crate) fn len(&self) -> usize {
        self.len
    }
}
