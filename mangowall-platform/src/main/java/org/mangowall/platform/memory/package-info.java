/** An in-memory platform for tests and simulations. */
package org.mangowall.platform.memory;
