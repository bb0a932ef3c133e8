package org.foxtailmoor.core.distribution;

/**
 * The two distribution trees over the nodes of a zone. A node mostly has different parents in them.
 */
enum Tree {
    /** Carries updates. */
    A("tree-a/"),
    /** Carries adverts, so that a dead inner node of tree A delays its children only by a fetch. */
    B("tree-b/");

    private final String mSalt;

    Tree(String salt) {
        mSalt = salt;
    }

    /** Returns the rendezvous hashing key that ranks the nodes of a zone. */
    String keyOf(String zone) {
        return mSalt + zone;
    }
}
