/** Tests of the model engine stand-in. */
package org.mangowall.standin.engine;
