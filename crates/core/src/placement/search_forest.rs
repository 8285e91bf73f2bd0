/// Root of an empty tree.
pub(super) const EMPTY: u32 = u32::MAX;

/// Treaps over worker slots, ordered by the free amount of one dimension. A slot is in at most one tree, so all trees
/// share one array of nodes indexed by slot.
#[derive(Debug, Default)]
pub(super) struct SearchForest {
    nodes: Vec<Node>,
}

#[derive(Debug, Clone, Copy)]
struct Node {
    key: u64,
    other: u64,
    /// Maximum of `other` in the subtree.
    max_other: u64,
    left: u32,
    right: u32,
    priority: u32,
}

impl SearchForest {
    /// Adds `slot` to the tree at `root` and returns the new root.
    pub(super) fn insert(&mut self, root: u32, slot: u32, key: u64, other: u64) -> u32 {
        let node = Node {
            key,
            other,
            max_other: other,
            left: EMPTY,
            right: EMPTY,
            priority: priority(slot),
        };
        let index = slot as usize;
        if index >= self.nodes.len() {
            self.nodes.resize(index + 1, node);
        }
        self.nodes[index] = node;
        let (left, right) = self.split(root, (key, slot));
        let left = self.merge(left, slot);
        self.merge(left, right)
    }

    /// Removes `slot` from the tree at `root` and returns the new root.
    pub(super) fn remove(&mut self, root: u32, slot: u32) -> u32 {
        if root == EMPTY {
            return EMPTY;
        }
        let node = self.nodes[root as usize];
        if root == slot {
            return self.merge(node.left, node.right);
        }
        let key = (self.nodes[slot as usize].key, slot);
        if key < (node.key, root) {
            let left = self.remove(node.left, slot);
            self.nodes[root as usize].left = left;
        } else {
            let right = self.remove(node.right, slot);
            self.nodes[root as usize].right = right;
        }
        self.update(root);
        root
    }

    /// Returns the slot with the smallest key of at least `key` whose other dimension is at least `other`.
    pub(super) fn find(&self, root: u32, key: u64, other: u64) -> Option<u32> {
        if root == EMPTY {
            return None;
        }
        let node = self.nodes[root as usize];
        if node.max_other < other {
            return None;
        }
        if node.key < key {
            return self.find(node.right, key, other);
        }
        let left = self.find(node.left, key, other);
        let here = || (node.other >= other).then_some(root);
        left.or_else(here)
            .or_else(|| self.find(node.right, key, other))
    }

    /// Splits into the nodes below `key` and the rest.
    fn split(&mut self, root: u32, key: (u64, u32)) -> (u32, u32) {
        if root == EMPTY {
            return (EMPTY, EMPTY);
        }
        let node = self.nodes[root as usize];
        if (node.key, root) < key {
            let (left, right) = self.split(node.right, key);
            self.nodes[root as usize].right = left;
            self.update(root);
            (root, right)
        } else {
            let (left, right) = self.split(node.left, key);
            self.nodes[root as usize].left = right;
            self.update(root);
            (left, root)
        }
    }

    fn merge(&mut self, left: u32, right: u32) -> u32 {
        if left == EMPTY {
            return right;
        }
        if right == EMPTY {
            return left;
        }
        if self.nodes[left as usize].priority >= self.nodes[right as usize].priority {
            let merged = self.merge(self.nodes[left as usize].right, right);
            self.nodes[left as usize].right = merged;
            self.update(left);
            left
        } else {
            let merged = self.merge(left, self.nodes[right as usize].left);
            self.nodes[right as usize].left = merged;
            self.update(right);
            right
        }
    }

    fn update(&mut self, slot: u32) {
        let node = self.nodes[slot as usize];
        let mut max_other = node.other;
        for child in [node.left, node.right] {
            if child != EMPTY {
                max_other = max_other.max(self.nodes[child as usize].max_other);
            }
        }
        self.nodes[slot as usize].max_other = max_other;
    }
}

/// Hashes `slot` to a heap priority, which balances the trees without a random source.
fn priority(slot: u32) -> u32 {
    let mut x = slot.wrapping_add(0x9e37_79b9);
    x = (x ^ (x >> 16)).wrapping_mul(0x85eb_ca6b);
    x = (x ^ (x >> 13)).wrapping_mul(0xc2b2_ae35);
    x ^ (x >> 16)
}
