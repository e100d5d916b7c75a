/** The interface of clients of the platform's object store and list of hosts. */
package org.mangowall.platform;
